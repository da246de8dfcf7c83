from dataclasses import replace

import msgspec
import pytest

from medlarridge._internal.coordination.pool_mean import MeanMessage, MeanRequest
from medlarridge._internal.coordination.reuse_messages import (
    HandOver,
    LoadAnswer,
    PrefixAnswer,
    ReuseMessage,
    Served,
)
from medlarridge._internal.coordination.reuse_planner import (
    LAST_RESORT_CHECK_MS,
    LAST_RESORT_WAIT_MS,
    MAX_WAIT_MS,
    SOLE_MEMBER_AFTER_MS,
    Refuse,
    Run,
    Wait,
)
from medlarridge_standins.planner_cluster import PlannerCluster


@pytest.fixture
def cluster():
    cluster = PlannerCluster(6)
    cluster.advance(2000)
    return cluster


def cluster_without_release():
    """Return a pool whose engines cannot drop a prefix on request."""
    cluster = PlannerCluster(6, engine_can_release=False)
    cluster.advance(2000)
    return cluster


def move_chat(cluster, prompt=3300):
    """Move a chat away from its home, which then has free capacity again."""
    home, _, _ = cluster.serve("chat", 3000)
    target, run, request = spill(cluster, "chat", prompt)
    cluster.complete(target, request, run)
    cluster.planners[home].abandon(next(iter(cluster.planners[home].running)))
    cluster.advance(1000)
    return home, target


def overload_home(cluster, chat, prompt=3000):
    """Return a request after loading its home far beyond the bound."""
    request = cluster.request(chat, prompt)
    cluster.add_load(request.ranked[0], 5000)
    cluster.advance(1000)
    return request


def spill(cluster, chat, prompt):
    """Serve a chat at the first candidate of its overloaded home."""
    request = overload_home(cluster, chat, prompt)
    refusal = cluster.decide(request.ranked[0], request)
    assert isinstance(refusal, Refuse)
    target = refusal.candidates[0].address
    run = cluster.decide(target, request)
    return target, run, request


class TestReusePlanner:
    def test_finds_a_chat_at_its_home(self, cluster):
        """Guards against prefilling a prefix that is already cached."""
        home, _, _ = cluster.serve("chat", 3000)
        assert cluster.serve("chat", 3300) == (home, 3100, 0)

    def test_a_spill_imports_only_the_missing_blocks(self, cluster):
        """Guards against prefilling or transferring the whole prefix after a spill."""
        cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        assert (run.import_from, run.cached_tokens) == (request.ranked[0], 0)
        assert run.import_tokens == 3100
        assert cluster.complete(target, request, run) == (0, 3100)

    def test_a_spill_avoids_an_engine_that_is_down(self):
        """Guards against spilling to a dead engine because it reports no load."""

        def first_candidate(down=None):
            cluster = PlannerCluster(6)
            cluster.advance(2000)
            if down is not None:
                cluster.planners[down].accepts_work = lambda: False
            request = overload_home(cluster, "chat")
            refusal = cluster.decide(request.ranked[0], request)
            assert isinstance(refusal, Refuse)
            return refusal.candidates[0].address

        expected = first_candidate()
        assert first_candidate() == expected
        assert first_candidate(down=expected) != expected

    def test_the_home_learns_of_a_spill_and_fetches_what_it_lacks(self, cluster):
        """Guards against a home that reuses only the turns it served itself."""
        home, _, _ = cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        cluster.complete(target, request, run)
        assert cluster.caches[home]["chat"] == 3400
        assert "chat" not in cluster.caches[target]
        assert cluster.planners[target].notices == {}

    def test_notice_is_repeated_until_the_home_answers(self, cluster):
        """Guards against losing track of a spilled chat when a datagram is lost."""
        home, _, _ = cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        cluster.isolated = {home}
        cluster.complete(target, request, run)
        assert cluster.caches[home]["chat"] == 3100
        cluster.isolated = set()
        cluster.advance(2500)
        assert cluster.caches[home]["chat"] == 3400

    def test_prefix_stays_where_it_was_served_if_engines_cannot_drop_it(self):
        """Guards against duplicate copies that displace the prefixes of other chats."""
        cluster = cluster_without_release()
        home, _, _ = cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        cluster.complete(target, request, run)
        assert cluster.caches[home]["chat"] == 3100
        entry = cluster.planners[home].index.get("chat")
        assert (entry.other_holder, entry.other_holder_tokens) == (target, 3400)
        refusal = cluster.decide(home, cluster.request("chat", 3600))
        assert refusal.candidates[0].address == target
        assert refusal.candidates[0].warm

    def test_home_with_capacity_redirects_a_moved_chat(self):
        """Guards against a second unused copy when a moved chat returns to its home."""
        cluster = cluster_without_release()
        home, target = move_chat(cluster)
        refusal = cluster.decide(home, cluster.request("chat", 3600))
        assert isinstance(refusal, Refuse)
        assert refusal.moved
        assert [c.address for c in refusal.candidates] == [target]
        assert cluster.serve("chat", 3600) == (target, 3400, 0)
        assert cluster.caches[home]["chat"] == 3100

    def test_only_the_home_and_only_a_first_attempt_redirects(self):
        """Guards against a request that two engines redirect to each other."""
        cluster = cluster_without_release()
        home, target = move_chat(cluster, 4000)
        again = replace(cluster.request("chat", 4300), first_attempt=False)
        run = cluster.decide(home, again)
        assert isinstance(run, Run)
        assert (run.import_from, run.import_tokens) == (target, 4100)
        # The holder does not redirect, even if its index lists a longer copy elsewhere.
        cluster.planners[target].index.record_other_holder("chat", home, 4300)
        run = cluster.decide(target, cluster.request("chat", 4600))
        assert isinstance(run, Run)

    @pytest.mark.parametrize("draining", [False, True])
    def test_home_serves_a_chat_whose_holder_drains_or_left(self, draining):
        """Guards against redirects to an engine that refuses requests or has left."""
        cluster = cluster_without_release()
        home, target = move_chat(cluster)
        members = [
            msgspec.structs.replace(m, draining=m.instance.address == target)
            for m in cluster.members
            if draining or m.instance.address != target
        ]
        cluster.update(members)
        assert isinstance(cluster.decide(home, cluster.request("chat", 3600)), Run)

    def test_lost_notice_of_a_move_is_repeated(self):
        """Guards against a home that redirects a chat to an outdated copy."""
        cluster = cluster_without_release()
        home, _, _ = cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        cluster.isolated = {home}
        cluster.complete(target, request, run)
        assert cluster.planners[home].index.get("chat").other_holder == ""
        cluster.isolated = set()
        cluster.advance(2500)
        assert cluster.planners[home].index.get("chat").other_holder == target
        assert cluster.planners[target].notices == {}
        assert cluster.planners[target].index.get("chat").tokens == 3400

    def test_new_home_learns_the_holder_of_a_moved_chat(self):
        """Guards against a repeated prefill when the home of a moved chat drains."""
        cluster = cluster_without_release()
        home, target = move_chat(cluster)
        notices = cluster.planners[home].hand_over()
        [notice] = [n for n in notices if n.message.chat == "chat"]
        cluster.send(home, notices)
        cluster.deliver_all()
        entry = cluster.planners[notice.address].index.get("chat")
        if notice.address == target:
            assert (entry.tokens, entry.other_holder) == (3400, "")
        else:
            assert (entry.tokens, entry.other_holder) == (0, target)

    @pytest.mark.parametrize("releases", [False, True])
    def test_waits_longer_where_a_move_leaves_a_copy(self, releases):
        """Guards against moving a chat, which leaves a copy, to avoid a short wait."""
        cluster = PlannerCluster(6, engine_can_release=releases)
        cluster.advance(2000)
        cluster.serve("chat", 2000)
        request = overload_home(cluster, "chat", 2100)
        max_wait_ms = cluster.planners[request.ranked[0]].max_wait_ms(request, 2100)
        assert max_wait_ms == (210 if releases else MAX_WAIT_MS)

    def test_sole_member_is_exempt_from_the_bound_only_after_a_delay(self, cluster):
        """Guards against unbounded admission by a sidecar that has not yet joined."""
        request = overload_home(cluster, "chat", 100)
        home = request.ranked[0]
        planner = cluster.planners[home]
        planner.set_members([planner.member])
        assert isinstance(planner.plan(request), Refuse)
        cluster.clock.advance(SOLE_MEMBER_AFTER_MS)
        assert isinstance(planner.plan(replace(request, id="later")), Run)

    def test_a_last_resort_attempt_waits_for_the_next_mean(self, cluster):
        """Guards against a burst on an idle pool that every engine refuses."""
        request = replace(overload_home(cluster, "chat", 100), last_resort=True)
        planner = cluster.planners[request.ranked[0]]
        waits = 0
        while isinstance(planner.plan(request), Wait):
            waits += 1
            cluster.advance(LAST_RESORT_CHECK_MS)
            assert waits < 20
        assert waits >= LAST_RESORT_WAIT_MS // LAST_RESORT_CHECK_MS
        refused = replace(request, id="other", last_resort=False)
        assert isinstance(cluster.decide(request.ranked[0], refused), Refuse)

    def test_waits_while_that_is_cheaper_than_prefilling(self, cluster):
        """Guards against a spill because of a brief overload."""
        cluster.serve("chat", 8000)
        request = cluster.request("chat", 8050)
        home = request.ranked[0]
        planner = cluster.planners[home]
        cluster.add_load(home, 900)
        # Enough work has finished recently that capacity is expected soon.
        planner.finished_work.append((cluster.clock.now_ms(), 50_000.0))
        planner.finished_work_total += 50_000.0
        decision = planner.plan(request)
        assert isinstance(decision, Wait)
        assert not decision.queries
        assert decision.until_ms - cluster.clock.now_ms() <= MAX_WAIT_MS
        planner.finish(next(iter(planner.running)), 0, 0, 0)
        assert planner.take_ready() == [request.id]
        assert isinstance(planner.plan(request), Run)

    @pytest.mark.parametrize("shared_known", [False, True])
    def test_does_not_wait_for_the_shared_prefix_of_a_route(
        self, cluster, shared_known
    ):
        """Guards against waiting for a prefix that every engine holds."""
        request = overload_home(cluster, "chat", 8000)
        planner = cluster.planners[request.ranked[0]]
        planner.finished_work_total = 1e9
        planner.index.record("chat", 7900, cluster.clock.now_ms())
        if shared_known:
            planner.index.record_new_chat("route", 7900)
        decision = planner.plan(request)
        assert isinstance(decision, Wait)
        assert bool(decision.queries) == shared_known

    def test_refusal_lists_members_with_capacity_first(self, cluster):
        """Guards against sending requests to engines that would refuse them as well."""
        request = overload_home(cluster, "chat")
        home, idle = request.ranked[0], request.ranked[3]
        planner = cluster.planners[home]
        busy = [a for a in cluster.planners if a not in (home, idle)][:2]
        for address in busy:
            cluster.add_load(address, 5000)
        planner.peers = [*busy, idle]
        refusal = cluster.decide(home, request)
        assert refusal.candidates[0].address == idle

    def test_a_lost_answer_costs_only_a_prefill(self, cluster):
        """Guards against a request that waits for a silent peer."""
        cluster.isolated = set(cluster.planners)
        request = cluster.request("chat", 3000)
        run = cluster.decide(request.ranked[0], request)
        assert (run.import_from, run.cached_tokens) == ("", 0)

    def test_a_new_home_queries_the_next_member_of_the_ranking(self, cluster):
        """Guards against prefilling chats again after an engine joins."""
        ranked = cluster.router.rank("chat", 2, "r")
        joined = ranked[0]
        others = [m for m in cluster.members if m != joined]
        cluster.update(others)
        old_home, _, _ = cluster.serve("chat", 3000)
        assert old_home == ranked[1].instance.address
        cluster.update(cluster.members)
        assert cluster.serve("chat", 3300) == (joined.instance.address, 0, 3100)

    def test_progress_and_end_of_a_request_reduce_the_load(self, cluster):
        """Guards against a load that drifts away from the outstanding work."""
        request = cluster.request("chat", 1000, 100)
        planner = cluster.planners[request.ranked[0]]
        run = cluster.decide(request.ranked[0], request)
        assert planner.tokens == run.work == 140
        planner.progress(request.id, 30)
        assert planner.tokens == 70
        planner.progress(request.id, 1000)
        assert planner.tokens == pytest.approx(10)
        planner.abandon(request.id)
        assert planner.tokens == 0
        assert planner.finish(request.id, 0, 0, 1100) == []

    def test_outdated_served_notice_is_acknowledged_at_once(self, cluster):
        """Guards against repeated notices of a prefix that the home already holds."""
        home, _, _ = cluster.serve("chat", 3000)
        answers = cluster.planners[home].receive(Served("chat", 2000), "x")
        assert [a.address for a in answers] == ["x"]
        assert cluster.planners[home].take_fetch() is None

    def test_a_failed_import_counts_as_prefill(self, cluster):
        """Guards against a load that omits the prefill after a failed import."""
        cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3000)
        planner = cluster.planners[target]
        before = planner.tokens
        planner.import_failed(request.id)
        assert planner.tokens - before == pytest.approx(0.04 * 3000)
        planner.progress(request.id, 0)
        assert planner.tokens == 100
        cluster.complete(target, request, run)
        assert planner.tokens == 0

    def test_requests_without_a_chat_are_not_indexed(self, cluster):
        """Guards against requests of services without chats that share one entry."""
        request = cluster.request("", 5000)
        planner = cluster.planners[request.ranked[0]]
        run = planner.plan(request)
        assert isinstance(run, Run)
        assert planner.finish(request.id, 0, 0, 5100) == []
        assert not planner.index.entries

    def test_messages_share_one_compact_encoding(self):
        """Guards against datagrams that a sidecar cannot distinguish."""
        decoder = msgspec.msgpack.Decoder(MeanMessage | ReuseMessage)
        for message in (
            MeanRequest(0, 1, 0, 2**32, 280),
            PrefixAnswer("c" * 32, 9000, "10.0.0.1:7000", 9000),
            HandOver("c" * 32, 9000, "10.0.0.1:7000"),
            LoadAnswer(2**32 - 1, 900),
        ):
            data = msgspec.msgpack.encode(message)
            assert len(data) <= 80
            assert decoder.decode(data) == message
