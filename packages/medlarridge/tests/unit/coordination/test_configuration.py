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
    """Return the generations that a list of edits leads to."""
    configurations = [Configuration()]
    for version, step in enumerate(steps, 1):
        configurations.append(
            configurations[-1].successor(tables(step), version, version)
        )
    return configurations


def view_at(configuration, peers=3):
    clock = ManualClock()
    view = ConfigurationHolder(clock, Random(2))
    view.peers = peers
    if configuration.generation:
        view.store_replied(configuration.to_json())
    return view, clock


edits = st.lists(
    st.dictionaries(st.integers(0, 5), st.integers(0, 3), max_size=5),
    min_size=1,
    max_size=8,
)


class TestDelta:
    @seed(7)
    @settings(deadline=None, database=None, max_examples=60)
    @given(edits, st.data())
    def test_any_delta_leads_to_the_same_tables(self, steps, data):
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
        """Guards against whole tables on the wire for each edit."""
        *_, before, after = history({0: 0, 1: 0, 2: 0}, {0: 0, 1: 5})
        delta = after.delta(before.generation)
        assert set(delta.entries) == {"routes/r1"}
        assert delta.removed == {"routes/r2": 2}

    def test_node_that_missed_forgotten_removals_gets_everything(self):
        """Guards against a removed route that lives on at a node."""
        count = MAX_REMOVALS + 5
        first, second = history(dict.fromkeys(range(count), 0), {})[1:]
        assert second.delta(1).since == 0
        assert first.apply(second.delta(1), PEER).tables == second.tables

    @seed(8)
    @settings(deadline=None, database=None, max_examples=60)
    @given(st.binary(max_size=200))
    def test_hostile_objects_raise_only_codec_errors(self, value):
        """Guards against a store object that ends the process."""
        with pytest.raises(CodecError):
            Configuration.from_json(value, PEER)

    def test_tampered_entries_are_refused(self):
        """Guards against entries that no operator wrote."""
        value = history({0: 1})[1].to_json().replace(b'"priority":1', b'"priority":2')
        with pytest.raises(CodecError, match="digest"):
            Configuration.from_json(value, PEER)


class TestConfigurationView:
    def test_mention_fetches_from_the_mentioning_peer_once(self):
        """Guards against a stale node, and against many fetches of one delta."""
        _, first, second = history({0: 0}, {0: 1})
        view, _ = view_at(first)
        assert view.record_peer_generation(2, PEER) == [FetchDelta(PEER, 1)]
        assert view.record_peer_generation(2, "10.0.0.8:80") == []
        assert view.peer_replied(PEER, second.delta(1)) == [AnnounceGeneration()]
        assert view.record_peer_generation(2, PEER) == []

    def test_failed_fetch_is_tried_elsewhere(self):
        """Guards against a node that waits for a peer that died."""
        view, clock = view_at(history({0: 0})[1])
        view.record_peer_generation(2, PEER)
        assert view.peer_replied(PEER, None) == []
        asked = set()
        for _ in range(400):
            clock.advance(250)
            asked |= {type(action) for action in view.tick()}
        assert asked == {AskPeers, ReadStore}

    def test_polls_read_the_whole_only_when_there_is_news(self):
        """Guards against polls that move all tables when nothing has changed."""
        _, first, second = history({0: 0}, {0: 1})
        view, clock = view_at(first)
        polls = []
        while len(polls) < 2 * FULL_READ_POLLS:
            clock.advance(250)
            polls += view.tick()
        whole = [number for number, poll in enumerate(polls, 1) if poll == ReadStore()]
        assert whole == [FULL_READ_POLLS, 2 * FULL_READ_POLLS]
        assert set(polls) == {ReadStore(), ReadStatus()}
        assert view.status_replied(first.generation) == []
        assert view.status_replied(second.generation) == [ReadStore()]

    def test_bad_delta_is_replaced_by_the_whole(self):
        """Guards against a digest mismatch that keeps a node behind."""
        _, first, second = history({0: 0}, {0: 1})
        view, _ = view_at(first)
        delta = second.delta(1)
        delta.digest = first.digest
        assert view.peer_replied(PEER, delta) == [FetchDelta(PEER, 0)]
        assert view.generation == 1
        view.peer_replied(PEER, second.delta(0))
        assert view.generation == 2

    def test_start_without_store_needs_several_peers(self):
        """Guards against one stale peer that brings an old configuration back."""
        _, first, second = history({0: 0}, {0: 1})
        view, _ = view_at(Configuration())
        assert view.tick() == [ReadStore()]
        assert view.store_failed() == [AskPeers(3, 0)]
        view.peer_replied("a:1", first.delta(0))
        view.peer_replied("a:1", first.delta(0))
        view.peer_replied("b:1", first.delta(0))
        assert not view.ready
        view.peer_replied("c:1", second.delta(0))
        assert view.ready
        assert view.generation == 2

    def test_unconfirmed_peers_do_not_confirm_at_once(self):
        """Guards against processes that confirm an old configuration mutually."""
        first = history({0: 0})[1]
        view, clock = view_at(Configuration())
        view.store_failed()
        for peer in ("a:1", "b:1", "c:1"):
            view.peer_replied(peer, first.delta(0, confirmed=False))
        assert not view.ready
        clock.advance(10_000)
        view.peer_replied("c:1", first.delta(0, confirmed=False))
        assert view.ready

    @pytest.mark.parametrize("nodes", [100, 4800])
    def test_total_read_rate_does_not_grow_with_the_fleet(self, nodes):
        """Guards against a store overloaded by pollers, also after an outage."""
        configuration = history({0: 0})[1]
        clock = ManualClock()
        views = [ConfigurationHolder(clock, Random(i)) for i in range(nodes)]
        for view in views:
            view.nodes = nodes
            view.store_replied(configuration.to_json())
        reads, seconds = 0, 600 if nodes > 1000 else 60
        for _ in range(seconds):
            clock.advance(1000)
            for view in views:
                reads += len(view.tick())
        assert 0.8 * STORE_READS_PER_S < reads / seconds < 1.2 * STORE_READS_PER_S
