from random import Random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.accepted_configuration import (
    MAX_REMOVALS,
    Configuration,
)
from medlarridge._internal.coordination.configuration import (
    FULL_READ_POLLS,
    STORE_READS_PER_S,
    AnnounceGeneration,
    AskPeers,
    ConfigurationHolder,
    FetchDelta,
    ReadStatus,
    ReadStore,
)
from medlarridge._internal.errors import CodecError
from medlarridge._internal.protocol.gossip import decode_reply, encode
from medlarridge._internal.protocol.tables import Tables

PEER = "10.0.0.9:80"


def tables(priorities):
    pools = {"p": {"kind": "engine", "data_centres": ["a"]}}
    routes = {
        f"r{index}": {"pools": ["p"], "priority": priority}
        for index, priority in priorities.items()
    }
    return Tables.model_validate({"routes": routes, "pools": pools})


def history(*steps):
    """Return the configurations that result from a list of edits."""
    configurations = [Configuration()]
    for version, step in enumerate(steps, 1):
        configurations.append(
            configurations[-1].successor(tables(step), version, version)
        )
    return configurations


def holder_with(configuration, peers=3):
    clock = ManualClock()
    holder = ConfigurationHolder(clock, Random(2))
    holder.peers = peers
    if configuration.generation:
        holder.store_replied(configuration.to_json())
    return holder, clock


edits = st.lists(
    st.dictionaries(st.integers(0, 5), st.integers(0, 3), max_size=5),
    min_size=1,
    max_size=8,
)


class TestDelta:
    @seed(7)
    @settings(deadline=None, database=None, max_examples=60)
    @given(edits, st.data())
    def test_any_delta_results_in_the_same_tables(self, steps, data):
        """Guards against a node whose entries differ from the accepted ones."""
        configurations = history(*steps)
        start = data.draw(st.sampled_from(configurations))
        first_end = max(1, start.generation)
        end = data.draw(st.sampled_from(configurations[first_end:]))
        delta = decode_reply(encode(end.delta(start.generation)), PEER)
        applied = start.apply(delta, PEER)
        assert applied.tables == end.tables
        assert applied.entries == end.entries
        assert applied.changed == end.changed
        again = Configuration().apply(applied.delta(0), PEER)
        assert again.tables == end.tables

    def test_delta_carries_only_what_changed(self):
        """Guards against sending whole tables for each edit."""
        *_, before, after = history({0: 0, 1: 0, 2: 0}, {0: 0, 1: 5})
        delta = after.delta(before.generation)
        assert set(delta.entries) == {"routes/r1"}
        assert delta.removed == {"routes/r2": 2}

    def test_node_that_missed_dropped_removals_gets_the_whole(self):
        """Guards against a node that keeps a removed route."""
        count = MAX_REMOVALS + 5
        first, second = history(dict.fromkeys(range(count), 0), {})[1:]
        assert second.delta(1).since == 0
        assert first.apply(second.delta(1), PEER).tables == second.tables

    @seed(8)
    @settings(deadline=None, database=None, max_examples=60)
    @given(st.binary(max_size=200))
    def test_arbitrary_objects_raise_only_codec_errors(self, value):
        """Guards against a malformed object that crashes the process."""
        with pytest.raises(CodecError):
            Configuration.from_json(value, PEER)

    def test_tampered_entries_are_refused(self):
        """Guards against entries that differ from the accepted ones."""
        value = history({0: 1})[1].to_json().replace(b'"priority":1', b'"priority":2')
        with pytest.raises(CodecError, match="digest"):
            Configuration.from_json(value, PEER)


class TestConfigurationHolder:
    def test_announced_generation_is_fetched_once_from_its_peer(self):
        """Guards against an outdated node and against repeated fetches of a delta."""
        _, first, second = history({0: 0}, {0: 1})
        holder, _ = holder_with(first)
        assert holder.record_peer_generation(2, PEER) == [FetchDelta(PEER, 1)]
        assert holder.record_peer_generation(2, "10.0.0.8:80") == []
        assert holder.peer_replied(PEER, second.delta(1)) == [AnnounceGeneration()]
        assert holder.record_peer_generation(2, PEER) == []

    def test_failed_fetch_is_retried_elsewhere(self):
        """Guards against a node that waits for a dead peer."""
        holder, clock = holder_with(history({0: 0})[1])
        holder.record_peer_generation(2, PEER)
        assert holder.peer_replied(PEER, None) == []
        action_types = set()
        for _ in range(400):
            clock.advance(250)
            action_types |= {type(action) for action in holder.tick()}
        assert action_types == {AskPeers, ReadStore}

    def test_polls_read_the_whole_configuration_rarely(self):
        """Guards against polls that transfer all tables when nothing has changed."""
        _, first, second = history({0: 0}, {0: 1})
        holder, clock = holder_with(first)
        polls = []
        while len(polls) < 2 * FULL_READ_POLLS:
            clock.advance(250)
            polls += holder.tick()
        full_reads = [
            number for number, poll in enumerate(polls, 1) if poll == ReadStore()
        ]
        assert full_reads == [FULL_READ_POLLS, 2 * FULL_READ_POLLS]
        assert set(polls) == {ReadStore(), ReadStatus()}
        assert holder.status_replied(first.generation) == []
        assert holder.status_replied(second.generation) == [ReadStore()]

    def test_invalid_delta_is_replaced_by_the_whole_configuration(self):
        """Guards against a digest mismatch that keeps a node outdated."""
        _, first, second = history({0: 0}, {0: 1})
        holder, _ = holder_with(first)
        delta = second.delta(1)
        delta.digest = first.digest
        assert holder.peer_replied(PEER, delta) == [FetchDelta(PEER, 0)]
        assert holder.generation == 1
        holder.peer_replied(PEER, second.delta(0))
        assert holder.generation == 2

    def test_start_without_store_needs_several_peers(self):
        """Guards against confirming an old configuration from one outdated peer."""
        _, first, second = history({0: 0}, {0: 1})
        holder, _ = holder_with(Configuration())
        assert holder.tick() == [ReadStore()]
        assert holder.store_failed() == [AskPeers(3, 0)]
        holder.peer_replied("a:1", first.delta(0))
        holder.peer_replied("a:1", first.delta(0))
        holder.peer_replied("b:1", first.delta(0))
        assert not holder.ready
        holder.peer_replied("c:1", second.delta(0))
        assert holder.ready
        assert holder.generation == 2

    def test_unconfirmed_peers_count_only_after_a_grace_period(self):
        """Guards against unconfirmed processes that confirm each other at once."""
        first = history({0: 0})[1]
        holder, clock = holder_with(Configuration())
        holder.store_failed()
        for peer in ("a:1", "b:1", "c:1"):
            holder.peer_replied(peer, first.delta(0, confirmed=False))
        assert not holder.ready
        clock.advance(10_000)
        holder.peer_replied("c:1", first.delta(0, confirmed=False))
        assert holder.ready

    @pytest.mark.parametrize("nodes", [100, 4800])
    def test_total_read_rate_does_not_grow_with_the_fleet(self, nodes):
        """Guards against polls that overload the store, also after an outage."""
        configuration = history({0: 0})[1]
        clock = ManualClock()
        holders = [ConfigurationHolder(clock, Random(i)) for i in range(nodes)]
        for holder in holders:
            holder.nodes = nodes
            holder.store_replied(configuration.to_json())
        reads, seconds = 0, 600 if nodes > 1000 else 60
        for _ in range(seconds):
            clock.advance(1000)
            for holder in holders:
                reads += len(holder.tick())
        assert 0.8 * STORE_READS_PER_S < reads / seconds < 1.2 * STORE_READS_PER_S
