from random import Random

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.hashing import instance_key
from medlarridge_direct._internal.coordination.load_view import (
    PEER_REPORT_TTL_MS,
    LoadView,
)
from medlarridge_direct._internal.coordination.placement import Placement
from medlarridge_direct._internal.coordination.prompt_cache_index import (
    CACHE_ENTRY_TTL_MS,
    PromptCacheIndex,
)

from ..samples import prompt, server, servers


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


def make_placement(clock, seed=1):
    return Placement(Random(seed), LoadView(clock), PromptCacheIndex(clock), "anfa")


class TestPlacementByPrompt:
    def test_routers_agree_on_a_server_without_reports(self, clock):
        """Guards against a prompt that each router sends to a different server."""
        chosen = {
            make_placement(clock, seed).rank(servers(9), prompt())[0].instance
            for seed in range(5)
        }
        assert len(chosen) == 1

    def test_a_server_that_caches_the_prompt_comes_before_the_hash(self, clock):
        """Guards against moving chats when servers are added."""
        placement = make_placement(clock)
        last = placement.rank(servers(9), prompt())[-1]
        placement.cache_index.record_prompt(prompt(), last.instance)
        assert placement.rank(servers(12), prompt())[0] == last

    def test_a_server_over_the_load_limit_comes_last(self, clock):
        """Guards against overloading the server that caches a popular prompt."""
        placement = make_placement(clock)
        pool = servers(4)
        placement.cache_index.record_prompt(prompt(), "s-0")
        for _ in range(12):
            placement.load.begin_attempt("s-0")
        ranked = [each.instance for each in placement.rank(pool, prompt())]
        assert ranked[-1] == "s-0"

    def test_a_cache_entry_expires_when_the_server_may_have_evicted_it(self, clock):
        """Guards against choosing a server for a prompt that it no longer caches."""
        placement = make_placement(clock)
        by_hash = placement.rank(servers(9), prompt())[0]
        other = placement.rank(servers(9), prompt())[-1]
        placement.cache_index.record_prompt(prompt(), other.instance)
        clock.advance(CACHE_ENTRY_TTL_MS + 1)
        assert placement.rank(servers(9), prompt())[0] == by_hash


class TestPlacementByLoad:
    def test_the_least_loaded_server_per_slot_comes_first(self, clock):
        """Guards against queues at small servers while large ones are idle."""
        placement = make_placement(clock)
        small, large = server("small", slots=2), server("large", slots=8)
        for _ in range(3):
            placement.load.begin_attempt("large")
        placement.load.begin_attempt("small")
        assert placement.rank([small, large], ())[0] == large

    def test_own_data_centre_comes_first_where_loads_are_equal(self, clock):
        """Guards against unnecessary traffic between data centres."""
        far, near = server("far", data_centre="agdal"), server("near")
        assert make_placement(clock).rank([far, near], ())[0] == near


class TestFailingServers:
    @pytest.mark.parametrize("parts", [prompt(), ()])
    def test_they_get_work_when_the_others_reach_the_limit(self, clock, parts):
        """Guards against overloading the few healthy servers of a failing pool."""
        placement = make_placement(clock)
        pool = servers(5)
        failing = {"s-0", "s-1", "s-2"}
        chosen = []
        for _ in range(40):
            instance = placement.rank(pool, parts, failing)[0].instance
            placement.load.begin_attempt(instance)
            chosen.append(instance)
        loads = [placement.load.in_flight(each.instance) for each in pool]
        assert chosen[0] not in failing
        assert failing & set(chosen)
        assert max(loads) <= 2 * sum(loads) / len(loads) + 3

    def test_a_failing_server_is_skipped_despite_its_cache(self, clock):
        """Guards against failing a chat in order to reuse its cached prompt."""
        placement = make_placement(clock)
        placement.cache_index.record_prompt(prompt(), "s-0")
        assert placement.rank(servers(3), prompt(), {"s-0"})[0].instance != "s-0"


class TestFetchSource:
    def test_cached_parts_are_fetched_from_a_draining_server(self, clock):
        """Guards against processing prompts again during a release."""
        placement = make_placement(clock)
        old, new = server("old"), server("new")
        placement.cache_index.record_prompt(prompt(), "old")
        assert placement.fetch_source(new, prompt(), [old, new]) == old

    def test_nothing_is_fetched_by_a_server_that_caches_the_prompt(self, clock):
        """Guards against transfers of parts that the server already has."""
        placement = make_placement(clock)
        pool = servers(2)
        for each in pool:
            placement.cache_index.record_prompt(prompt(), each.instance)
        assert placement.fetch_source(pool[0], prompt(), pool) is None

    def test_a_part_counts_only_if_all_parts_before_it_are_cached(self, clock):
        """Guards against a fetch from a server that lacks the start of the prompt."""
        placement = make_placement(clock)
        placement.cache_index.record("chat-1", "s-1")
        assert placement.fetch_source(server("s-0"), prompt(), servers(2)) is None


class TestLoadView:
    def test_peers_count_until_their_reports_expire(self, clock):
        """Guards against counting the attempts of a router that has ended."""
        load = LoadView(clock)
        load.begin_attempt("s-1")
        load.apply_report(9, {instance_key("s-1"): 4})
        assert load.in_flight("s-1") == 5
        clock.advance(PEER_REPORT_TTL_MS + 1)
        load.expire()
        assert load.in_flight("s-1") == 1

    def test_a_new_report_replaces_the_last(self, clock):
        """Guards against adding up successive reports of the same peer."""
        load = LoadView(clock)
        load.apply_report(9, {instance_key("s-1"): 4})
        load.apply_report(9, {instance_key("s-2"): 1})
        assert (load.in_flight("s-1"), load.in_flight("s-2")) == (0, 1)
