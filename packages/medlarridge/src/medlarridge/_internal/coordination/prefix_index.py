"""Index of the prompt prefixes that an engine holds; a hint only."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import StrEnum

# Twice the 2,600 returning chats per engine at target size.
MAX_CHATS = 5200
SHARED_SAMPLES = 8


class CacheEventKind(StrEnum):
    """What an engine reports about its prefix cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclass(frozen=True)
class CacheEvent:
    """Change in the engine's cache; arrives late and with gaps.

    ``at_ms`` is the time at which the engine changed its cache, in the sidecar's
    clock. ``tokens`` is the length of the chat's prefix that remains.
    """

    kind: CacheEventKind
    at_ms: int
    chat: str = ""
    tokens: int = 0


@dataclass
class PrefixEntry:
    """What is believed about one chat."""

    tokens: int = 0
    used_ms: int = 0
    other_holder: str = ""
    other_holder_tokens: int = 0
    # The chat's home is another engine, so this copy is a duplicate in the long run.
    guest: bool = False


class PrefixIndex:
    """Chats with the prefix length cached here and the last other holder.

    The responses of the engine outrank its cache events: an event older than the
    last response about the chat changes nothing.
    """

    def __init__(self, max_chats: int = MAX_CHATS) -> None:
        self.max_chats = max_chats
        self.entries: OrderedDict[str, PrefixEntry] = OrderedDict()
        self.shared: dict[str, deque[int]] = {}

    def get(self, chat: str) -> PrefixEntry | None:
        """Return what is believed about a chat."""
        return self.entries.get(chat)

    def record(self, chat: str, tokens: int, now_ms: int, guest: bool = False) -> None:
        """Note the prefix that the engine holds after it ran the chat."""
        entry = self.touch(chat)
        entry.guest = guest
        entry.tokens = tokens
        entry.used_ms = now_ms
        if entry.other_holder_tokens <= tokens:
            entry.other_holder, entry.other_holder_tokens = "", 0

    def record_other_holder(self, chat: str, holder: str, tokens: int) -> None:
        """Note that another engine holds a prefix of the chat."""
        entry = self.touch(chat)
        entry.other_holder, entry.other_holder_tokens = holder, tokens

    def forget_other_holder(self, chat: str, holder: str) -> None:
        """Drop a holder that turned out not to have the prefix."""
        entry = self.entries.get(chat)
        if entry is not None and entry.other_holder == holder:
            entry.other_holder, entry.other_holder_tokens = "", 0

    def forget_holder(self, holder: str) -> None:
        """Drop all references to an engine that has left."""
        for entry in self.entries.values():
            if entry.other_holder == holder:
                entry.other_holder, entry.other_holder_tokens = "", 0

    def apply(self, event: CacheEvent) -> None:
        """Apply a cache event of the engine."""
        if event.kind is CacheEventKind.CLEARED:
            for entry in self.entries.values():
                if entry.used_ms <= event.at_ms:
                    entry.tokens = 0
            return
        entry = self.entries.get(event.chat)
        if entry is None:
            if event.kind is CacheEventKind.STORED:
                self.record(event.chat, event.tokens, event.at_ms)
        elif entry.used_ms <= event.at_ms:
            entry.tokens = event.tokens

    def observe_new_chat(self, route: str, found_tokens: int) -> None:
        """Learn the script prefix from what an unknown chat found cached."""
        if found_tokens > 0:
            samples = self.shared.setdefault(route, deque(maxlen=SHARED_SAMPLES))
            samples.append(found_tokens)

    def shared_tokens(self, route: str) -> int:
        """Return the length of the script prefix of a route.

        The lowest of the samples is taken, since a chat that is unknown here may
        still be cached from before the sidecar restarted.
        """
        samples = self.shared.get(route)
        return min(samples) if samples else 0

    def warmest(self) -> list[tuple[str, PrefixEntry]]:
        """Return chats with a cached prefix, the last used first."""
        held = [item for item in self.entries.items() if item[1].tokens > 0]
        held.sort(key=lambda item: item[1].used_ms, reverse=True)
        return held

    def touch(self, chat: str) -> PrefixEntry:
        """Return the chat's entry as the newest, creating it if needed."""
        entry = self.entries.get(chat)
        if entry is None:
            entry = self.entries[chat] = PrefixEntry()
            if len(self.entries) > self.max_chats:
                self.entries.popitem(last=False)
        else:
            self.entries.move_to_end(chat)
        return entry
