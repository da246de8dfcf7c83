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
    ALONE_AFTER_MS,
    LAST_RESORT_CHECK_MS,
    LAST_RESORT_WAIT_MS,
    MAX_WAIT_MS,
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


def keeping_cluster():
    """Return a pool whose engines cannot drop a prefix on request."""
    cluster = PlannerCluster(6, engine_can_release=False)
    cluster.advance(2000)
    return cluster


def move_chat(cluster, prompt=3300):
    """Move a chat away from its home, which then has room again."""
    home, _, _ = cluster.serve("chat", 3000)
    target, run, request = spill(cluster, "chat", prompt)
    cluster.complete(target, request, run)
    cluster.planners[home].abandon(next(iter(cluster.planners[home].running)))
    cluster.advance(1000)
    return home, target


def overload_home(cluster, chat, prompt=3000):
    """Return a request whose home is far over its bound."""
    request = cluster.request(chat, prompt)
    cluster.fill(request.ranked[0], 5000)
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
        """Guards against a prefill where the prefix is cached."""
        home, _, _ = cluster.serve("chat", 3000)
        assert cluster.serve("chat", 3300) == (home, 3100, 0)

    def test_a_spill_imports_only_the_missing_blocks(self, cluster):
        """Guards against a prefill, or a full transfer, after a spill."""
        cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        assert (run.import_from, run.cached_tokens) == (request.ranked[0], 0)
        assert run.import_tokens == 3100
        assert cluster.complete(target, request, run) == (0, 3100)

    def test_a_spill_avoids_an_engine_that_is_down(self):
        """Guards against a dead engine, which has no load, that attracts all spills."""

        def first_candidate(down=None):
            cluster = PlannerCluster(6)
            cluster.advance(2000)
            if down is not None:
                cluster.planners[down].accepts_work = lambda: False
            request = overload_home(cluster, "chat")
            refusal = cluster.decide(request.ranked[0], request)
            assert isinstance(refusal, Refuse)
            return refusal.candidates[0].address

        usual = first_candidate()
        assert first_candidate() == usual
        assert first_candidate(down=usual) != usual

    def test_the_home_learns_of_a_spill_and_fetches_what_it_lacks(self, cluster):
        """Guards against a home that reuses only what it served itself."""
        home, _, _ = cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        cluster.complete(target, request, run)
        assert cluster.caches[home]["chat"] == 3400
        assert "chat" not in cluster.caches[target]
        assert cluster.planners[target].notices == {}

    def test_notice_is_repeated_until_the_home_answers(self, cluster):
        """Guards against a spilled chat forgotten because a datagram was lost."""
        home, _, _ = cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        cluster.silent = {home}
        cluster.complete(target, request, run)
        assert cluster.caches[home]["chat"] == 3100
        cluster.silent = set()
        cluster.advance(2500)
        assert cluster.caches[home]["chat"] == 3400

    def test_engines_that_cannot_drop_keep_the_prefix_where_it_was_served(self):
        """Guards against duplicates that displace other chats' prefixes."""
        cluster = keeping_cluster()
        home, _, _ = cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        cluster.complete(target, request, run)
        assert cluster.caches[home]["chat"] == 3100
        entry = cluster.planners[home].index.get("chat")
        assert (entry.other_holder, entry.other_holder_tokens) == (target, 3400)
        refusal = cluster.decide(home, cluster.request("chat", 3600))
        assert refusal.candidates[0].address == target
        assert refusal.candidates[0].warm

    def test_home_with_room_sends_a_moved_chat_on(self):
        """Guards against a second copy when a moved chat returns to its home."""
        cluster = keeping_cluster()
        home, target = move_chat(cluster)
        refusal = cluster.decide(home, cluster.request("chat", 3600))
        assert isinstance(refusal, Refuse)
        assert refusal.moved
        assert [c.address for c in refusal.candidates] == [target]
        assert cluster.serve("chat", 3600) == (target, 3400, 0)
        assert cluster.caches[home]["chat"] == 3100

    def test_only_the_home_and_only_a_first_attempt_redirects(self):
        """Guards against a request that is sent to and fro."""
        cluster = keeping_cluster()
        home, target = move_chat(cluster, 4000)
        again = replace(cluster.request("chat", 4300), first_attempt=False)
        run = cluster.decide(home, again)
        assert isinstance(run, Run)
        assert (run.import_from, run.import_tokens) == (target, 4100)
        # The holder does not redirect, even if it believes that another has more.
        cluster.planners[target].index.record_other_holder("chat", home, 4300)
        run = cluster.decide(target, cluster.request("chat", 4600))
        assert isinstance(run, Run)

    @pytest.mark.parametrize("draining", [False, True])
    def test_home_serves_a_chat_whose_holder_leaves(self, draining):
        """Guards against attempts at an engine that refuses or is gone."""
        cluster = keeping_cluster()
        home, target = move_chat(cluster)
        members = [
            msgspec.structs.replace(m, draining=m.instance.address == target)
            for m in cluster.members
            if draining or m.instance.address != target
        ]
        cluster.update(members)
        assert isinstance(cluster.decide(home, cluster.request("chat", 3600)), Run)

    def test_lost_notice_of_a_move_is_repeated(self):
        """Guards against a home that sends a chat to an older copy."""
        cluster = keeping_cluster()
        home, _, _ = cluster.serve("chat", 3000)
        target, run, request = spill(cluster, "chat", 3300)
        cluster.silent = {home}
        cluster.complete(target, request, run)
        assert cluster.planners[home].index.get("chat").other_holder == ""
        cluster.silent = set()
        cluster.advance(2500)
        assert cluster.planners[home].index.get("chat").other_holder == target
        assert cluster.planners[target].notices == {}
        assert cluster.planners[target].index.get("chat").tokens == 3400

    def test_new_home_learns_the_holder_of_a_moved_chat(self):
        """Guards against a prefill when the home of a moved chat leaves."""
        cluster = keeping_cluster()
        home, target = move_chat(cluster)
        notices = cluster.planners[home].hand_over()
        [following] = [n for n in notices if n.message.chat == "chat"]
        cluster.send(home, notices)
        cluster.pump()
        entry = cluster.planners[following.address].index.get("chat")
        if following.address == target:
            assert (entry.tokens, entry.other_holder) == (3400, "")
        else:
            assert (entry.tokens, entry.other_holder) == (0, target)

    @pytest.mark.parametrize("releases", [False, True])
    def test_waits_longer_where_a_move_leaves_a_copy(self, releases):
        """Guards against copies left behind for the sake of a short wait."""
        cluster = PlannerCluster(6, engine_can_release=releases)
        cluster.advance(2000)
        cluster.serve("chat", 2000)
        request = overload_home(cluster, "chat", 2100)
        patience_ms = cluster.planners[request.ranked[0]].patience_ms(request, 2100)
        assert patience_ms == (210 if releases else MAX_WAIT_MS)

    def test_only_a_lasting_solitude_lifts_the_bound(self, cluster):
        """Guards against a sidecar without a bound until it has joined the fleet."""
        request = overload_home(cluster, "chat", 100)
        home = request.ranked[0]
        planner = cluster.planners[home]
        planner.set_members([planner.member])
        assert isinstance(planner.plan(request), Refuse)
        cluster.clock.advance(ALONE_AFTER_MS)
        assert isinstance(planner.plan(replace(request, id="later")), Run)

    def test_a_last_resort_waits_for_the_next_mean(self, cluster):
        """Guards against refusals of a burst that every engine of an idle pool gives."""
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
        """Guards against a spill for a moment's excess of load."""
        cluster.serve("chat", 8000)
        request = cluster.request("chat", 8050)
        home = request.ranked[0]
        planner = cluster.planners[home]
        cluster.fill(home, 900)
        # Work ends often enough that room is expected soon.
        planner.finished_work.append((cluster.clock.now_ms(), 50_000.0))
        planner.finished_total += 50_000.0
        decision = planner.plan(request)
        assert isinstance(decision, Wait)
        assert not decision.queries
        assert decision.until_ms - cluster.clock.now_ms() <= MAX_WAIT_MS
        planner.finish(next(iter(planner.running)), 0, 0, 0)
        assert planner.take_ready() == [request.id]
        assert isinstance(planner.plan(request), Run)

    @pytest.mark.parametrize("script_known", [False, True])
    def test_the_script_prefix_attracts_nothing(self, cluster, script_known):
        """Guards against waiting for a prefix that every engine holds."""
        request = overload_home(cluster, "chat", 8000)
        planner = cluster.planners[request.ranked[0]]
        planner.finished_total = 1e9
        planner.index.record("chat", 7900, cluster.clock.now_ms())
        if script_known:
            planner.index.observe_new_chat("route", 7900)
        decision = planner.plan(request)
        assert isinstance(decision, Wait)
        assert bool(decision.queries) == script_known

    def test_refusal_names_members_with_room_first(self, cluster):
        """Guards against attempts at engines that would refuse as well."""
        request = overload_home(cluster, "chat")
        home, idle = request.ranked[0], request.ranked[3]
        planner = cluster.planners[home]
        busy = [a for a in cluster.planners if a not in (home, idle)][:2]
        for address in busy:
            cluster.fill(address, 5000)
        planner.peers = [*busy, idle]
        refusal = cluster.decide(home, request)
        assert refusal.candidates[0].address == idle

    def test_a_lost_answer_costs_only_a_prefill(self, cluster):
        """Guards against a request that hangs on a silent peer."""
        cluster.silent = set(cluster.planners)
        request = cluster.request("chat", 3000)
        run = cluster.decide(request.ranked[0], request)
        assert (run.import_from, run.cached_tokens) == ("", 0)

    def test_a_new_home_asks_the_next_in_the_ranking(self, cluster):
        """Guards against cold chats after an engine joins."""
        ranked = cluster.router.rank("chat", 2, "r")
        joined = ranked[0]
        others = [m for m in cluster.members if m != joined]
        cluster.update(others)
        old_home, _, _ = cluster.serve("chat", 3000)
        assert old_home == ranked[1].instance.address
        cluster.update(cluster.members)
        assert cluster.serve("chat", 3300) == (joined.instance.address, 0, 3100)

    def test_progress_and_the_end_take_work_out_of_the_load(self, cluster):
        """Guards against load that drifts from the work outstanding."""
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

    def test_served_of_an_older_state_is_answered_at_once(self, cluster):
        """Guards against notices repeated for what the home already holds."""
        home, _, _ = cluster.serve("chat", 3000)
        answers = cluster.planners[home].receive(Served("chat", 2000), "x")
        assert [a.address for a in answers] == ["x"]
        assert cluster.planners[home].take_fetch() is None

    def test_a_failed_import_counts_as_prefill(self, cluster):
        """Guards against load that hides the prefill after a failed import."""
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

    def test_requests_without_a_chat_leave_no_trace_in_the_index(self, cluster):
        """Guards against calls of plain services that share one entry."""
        request = cluster.request("", 5000)
        planner = cluster.planners[request.ranked[0]]
        run = planner.plan(request)
        assert isinstance(run, Run)
        assert planner.finish(request.id, 0, 0, 5100) == []
        assert not planner.index.entries

    def test_messages_share_one_compact_encoding(self):
        """Guards against datagrams that a sidecar cannot tell apart."""
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
