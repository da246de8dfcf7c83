"""Index of the prompt prefixes that an engine probably has cached."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import StrEnum

# Twice the 2,600 returning chats per engine at target size.
MAX_CHATS = 5200
SHARED_SAMPLES = 8


class CacheEventKind(StrEnum):
    """Kinds of cache events that an engine reports."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclass(frozen=True)
class CacheEvent:
    """Change of the engine's cache; events may arrive late or be lost.

    ``at_ms`` is the time of the change, on the sidecar's clock. ``tokens`` is the
    length of the chat's prefix that remains cached.
    """

    kind: CacheEventKind
    at_ms: int
    chat: str = ""
    tokens: int = 0


@dataclass
class PrefixEntry:
    """Prefixes of one chat, cached here and at another engine, as far as known."""

    tokens: int = 0
    last_used_ms: int = 0
    other_holder: str = ""
    other_holder_tokens: int = 0
    # Set if the chat's home is another engine. This copy becomes a duplicate once the
    # home holds the prefix as well.
    away_from_home: bool = False


class PrefixIndex:
    """Chats with the prefix length cached here and the last known other holder.

    Responses of the engine take precedence over its cache events: an event older than
    the last response about a chat is ignored.
    """

    def __init__(self, max_chats: int = MAX_CHATS) -> None:
        self.max_chats = max_chats
        self.entries: OrderedDict[str, PrefixEntry] = OrderedDict()
        self.shared_samples: dict[str, deque[int]] = {}

    def get(self, chat: str) -> PrefixEntry | None:
        """Return the entry of a chat, if any."""
        return self.entries.get(chat)

    def record(
        self, chat: str, tokens: int, now_ms: int, away_from_home: bool = False
    ) -> None:
        """Record the prefix that the engine holds after it ran the chat."""
        entry = self.touch(chat)
        entry.away_from_home = away_from_home
        entry.tokens = tokens
        entry.last_used_ms = now_ms
        if entry.other_holder_tokens <= tokens:
            entry.other_holder, entry.other_holder_tokens = "", 0

    def record_other_holder(self, chat: str, holder: str, tokens: int) -> None:
        """Record that another engine holds a prefix of the chat."""
        entry = self.touch(chat)
        entry.other_holder, entry.other_holder_tokens = holder, tokens

    def forget_other_holder(self, chat: str, holder: str) -> None:
        """Remove a holder that did not have the prefix."""
        entry = self.entries.get(chat)
        if entry is not None and entry.other_holder == holder:
            entry.other_holder, entry.other_holder_tokens = "", 0

    def forget_holder(self, holder: str) -> None:
        """Remove all references to an engine that has left."""
        for entry in self.entries.values():
            if entry.other_holder == holder:
                entry.other_holder, entry.other_holder_tokens = "", 0

    def apply(self, event: CacheEvent) -> None:
        """Apply a cache event of the engine."""
        if event.kind is CacheEventKind.CLEARED:
            for entry in self.entries.values():
                if entry.last_used_ms <= event.at_ms:
                    entry.tokens = 0
            return
        entry = self.entries.get(event.chat)
        if entry is None:
            if event.kind is CacheEventKind.STORED:
                self.record(event.chat, event.tokens, event.at_ms)
        elif entry.last_used_ms <= event.at_ms:
            entry.tokens = event.tokens

    def record_new_chat(self, route: str, found_tokens: int) -> None:
        """Record how many tokens a chat that is not in the index found cached.

        These belong to the prefix that all chats of the route share.
        """
        if found_tokens > 0:
            samples = self.shared_samples.setdefault(
                route, deque(maxlen=SHARED_SAMPLES)
            )
            samples.append(found_tokens)

    def shared_tokens(self, route: str) -> int:
        """Return the length of the prefix that all chats of a route share.

        This is the lowest of the samples, since a chat that is not in the index may
        still be cached from before a restart of the sidecar.
        """
        samples = self.shared_samples.get(route)
        return min(samples) if samples else 0

    def most_recently_used(self) -> list[tuple[str, PrefixEntry]]:
        """Return the chats with a cached prefix, the most recently used first."""
        held = [item for item in self.entries.items() if item[1].tokens > 0]
        held.sort(key=lambda item: item[1].last_used_ms, reverse=True)
        return held

    def touch(self, chat: str) -> PrefixEntry:
        """Return the chat's entry, created if needed, as the most recently used."""
        entry = self.entries.get(chat)
        if entry is None:
            entry = self.entries[chat] = PrefixEntry()
            if len(self.entries) > self.max_chats:
                self.entries.popitem(last=False)
        else:
            self.entries.move_to_end(chat)
        return entry
