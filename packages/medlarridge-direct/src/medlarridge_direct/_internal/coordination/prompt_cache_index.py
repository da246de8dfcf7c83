"""Index of the prompt parts that servers are believed to have in their caches."""

from collections import OrderedDict
from collections.abc import Sequence

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.requests import PromptPart
from .part_crashes import part_key

CACHE_ENTRY_TTL_MS = 30_000
"""Time after its last use for which a part counts as cached. Servers evict the least
recently used parts."""

ANNOUNCE_INTERVAL_MS = 5_000
"""Interval at which a part that stays in use is announced to peers again."""

MAX_PARTS = 50_000
"""Maximum number of parts in the index, which takes about 100 bytes for each."""


def shared_prefix(prompt: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other requests may share.

    The last part is left out: it belongs to the request itself or to its session.
    """
    return prompt[:-1] if len(prompt) > 1 else prompt


def affinity_key(prompt: Sequence[PromptPart]) -> str | None:
    """Return the ID of the last shared part, the key by which requests are grouped."""
    parts = shared_prefix(prompt)
    return parts[-1].part_id if parts else None


class Holding(Struct):
    """Use of a part by a server.

    ``since_ms`` is the time at which the server was first sent the part, or 0 once it
    is known to have processed it.
    """

    since_ms: int
    last_used_ms: int


class PromptCacheIndex(Struct):
    """Use of parts by server instance; the least recent parts are evicted.

    A part is known by a key of bounded length, since clients choose its ID.
    ``synced`` is set once the index covers what servers cached before this router
    started.
    """

    clock: Clock
    synced: bool = False
    parts: OrderedDict[str, dict[str, Holding]] = field(default_factory=OrderedDict)

    def record(self, part_id: str, instance: str) -> bool:
        """Record that a server uses a part; return whether to announce it to peers."""
        key = part_key(part_id)
        holders = self.parts.setdefault(key, {})
        self.parts.move_to_end(key)
        now_ms = self.clock.now_ms()
        holding = holders.get(instance)
        if holding is None or now_ms - holding.last_used_ms > CACHE_ENTRY_TTL_MS:
            holders[instance] = Holding(now_ms, now_ms)
        elif now_ms - holding.last_used_ms < ANNOUNCE_INTERVAL_MS:
            return False
        else:
            holding.last_used_ms = now_ms
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)
        return True

    def record_prompt(
        self, prompt: Sequence[PromptPart], instance: str
    ) -> list[tuple[str, str]]:
        """Record that a server processes a prompt; return the entries to announce."""
        return [
            (part_key(part.part_id), instance)
            for part in shared_prefix(prompt)
            if self.record(part.part_id, instance)
        ]

    def record_processed_part(self, part_id: str, instance: str) -> None:
        """Record that a server caches a part."""
        self.record(part_id, instance)
        self.parts[part_key(part_id)][instance].since_ms = 0

    def record_processed(self, prompt: Sequence[PromptPart], instance: str) -> None:
        """Record that a server has processed a prompt."""
        for part in shared_prefix(prompt):
            holding = self.parts.get(part_key(part.part_id), {}).get(instance)
            if holding is not None:
                holding.since_ms = 0

    def holders(self, part_id: str) -> dict[str, Holding]:
        """Return the servers that cache a part or are processing it."""
        holders = self.parts.get(part_key(part_id))
        if not holders:
            return {}
        oldest_ms = self.clock.now_ms() - CACHE_ENTRY_TTL_MS
        return {
            instance: holding
            for instance, holding in holders.items()
            if holding.last_used_ms >= oldest_ms
        }

    def cached_tokens(self, prompt: Sequence[PromptPart], instance: str) -> int:
        """Return the number of tokens at the start of a prompt that a server caches."""
        tokens = 0
        for part in shared_prefix(prompt):
            if instance not in self.holders(part.part_id):
                break
            tokens += part.tokens
        return tokens

    def uncached_tokens(self, prompt: Sequence[PromptPart], instance: str) -> int:
        """Return the number of shared tokens of a prompt that a server lacks."""
        shared = sum(part.tokens for part in shared_prefix(prompt))
        return shared - self.cached_tokens(prompt, instance)

    def best_source(
        self, prompt: Sequence[PromptPart], candidates: Sequence[str]
    ) -> tuple[str | None, int]:
        """Return the candidate that caches most of a prompt, and how many tokens."""
        best, best_tokens = None, 0
        for instance in candidates:
            tokens = self.cached_tokens(prompt, instance)
            if tokens > best_tokens:
                best, best_tokens = instance, tokens
        return best, best_tokens

    def remove_server(self, instance: str) -> None:
        """Remove the entries of a server that left or restarted."""
        for holders in self.parts.values():
            holders.pop(instance, None)

    def entries(self) -> list[tuple[str, str]]:
        """Return all pairs of a part and a server that caches it."""
        return [
            (part_id, instance)
            for part_id in self.parts
            for instance in self.holders(part_id)
        ]
