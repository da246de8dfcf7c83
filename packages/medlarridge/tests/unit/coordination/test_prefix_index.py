from medlarridge._internal.coordination.prefix_index import (
    CacheEvent,
    CacheEventKind,
    PrefixIndex,
)

HOUR_MS = 3_600_000


class TestPrefixIndex:
    def test_a_late_event_does_not_override_a_newer_response(self):
        """Guards against repeated prefills after a late report of an eviction."""
        index = PrefixIndex()
        index.record("chat", 500, now_ms=1000)
        index.apply(CacheEvent(CacheEventKind.REMOVED, 900, "chat"))
        assert index.get("chat").tokens == 500
        index.apply(CacheEvent(CacheEventKind.CLEARED, 900))
        assert index.get("chat").tokens == 500
        index.apply(CacheEvent(CacheEventKind.REMOVED, 1100, "chat", tokens=128))
        assert index.get("chat").tokens == 128
        index.apply(CacheEvent(CacheEventKind.CLEARED, 1200))
        assert index.get("chat").tokens == 0

    def test_a_response_corrects_an_entry_after_a_lost_event(self):
        """Guards against an index that stays wrong after lost events."""
        index = PrefixIndex()
        index.record("chat", 500, now_ms=1000)
        index.record("chat", 64, now_ms=HOUR_MS)
        assert index.get("chat").tokens == 64

    def test_keeps_chats_for_hours_within_a_bounded_size(self):
        """Guards against losing entries after a pause and against unbounded growth."""
        index = PrefixIndex(max_chats=100)
        index.record("old", 10, now_ms=0)
        for number in range(99):
            index.record(f"chat-{number}", 10, now_ms=10 * HOUR_MS)
        assert index.get("old").tokens == 10
        index.record("one more", 10, now_ms=10 * HOUR_MS)
        assert len(index.entries) == 100
        assert index.get("old") is None

    def test_shared_prefix_is_the_shortest_that_unknown_chats_find(self):
        """Guards against taking one long chat for the shared prefix of a route."""
        index = PrefixIndex()
        for found in (0, 900, 300, 300):
            index.record_new_chat("route", found)
        assert index.shared_tokens("route") == 300
        assert index.shared_tokens("other") == 0

    def test_forgets_holders_that_left(self):
        """Guards against imports from an engine that has left."""
        index = PrefixIndex()
        index.record_other_holder("chat", "b", 500)
        index.forget_holder("b")
        assert index.get("chat").other_holder == ""
