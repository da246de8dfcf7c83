import pytest

from medlarridge_direct._internal.protocol.events import EventSplitter, is_after

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class TestEventSplitter:
    @pytest.mark.parametrize("size", [1, 2, 5, 100])
    def test_events_are_complete_for_any_chunk_size(self, size):
        """Guards against forwarding part of an event when a server crashes."""
        splitter = EventSplitter()
        events = []
        for start in range(0, len(EVENTS), size):
            events += splitter.feed(EVENTS[start : start + size])
        assert b"".join(event.data for event in events) == EVENTS
        assert [event.event_id for event in events] == ["1", "2"]

    def test_an_incomplete_event_is_buffered(self):
        """Guards against joining part of an event with an event of another server."""
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a") == []
        assert splitter.take_remainder() == b"id: 1\ndata: a"


class TestOrder:
    @pytest.mark.parametrize(
        ("event_id", "last", "after"),
        [("10", "9", True), ("9", "9", False), ("8", "9", False), (None, "9", True)],
    )
    def test_ids_are_compared_as_numbers(self, event_id, last, after):
        """Guards against events that a client receives twice after a resume."""
        assert is_after(event_id, last) == after
