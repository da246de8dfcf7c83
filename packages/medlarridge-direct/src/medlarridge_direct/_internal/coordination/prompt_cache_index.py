"""Which servers hold which parts of prompts, as far as the routers know."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from medlarridge._internal.clock import Clock

from ..protocol.requests import PromptPart

HELD_MS = 30_000
"""How long a part counts as held after its last use; servers evict the parts that
were not used for longest."""

ANNOUNCE_MS = 5_000
"""Interval at which a part that stays in use is announced again."""

MAX_PARTS = 50_000
"""Parts that are remembered; about 100 bytes each."""


def shared_prefix(prompt: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other requests share.

    The last part belongs to the request itself or to its session.
    """
    return prompt[:-1] if len(prompt) > 1 else prompt


def affinity_key(prompt: Sequence[PromptPart]) -> str | None:
    """Return the last part that other requests share."""
    parts = shared_prefix(prompt)
    return parts[-1].part_id if parts else None


@dataclass(slots=True)
class PromptCacheIndex:
    """Time of last use by part and server.

    ``complete`` is set when the router knows what servers held before it started.
    """

    clock: Clock
    synced: bool = False
    parts: OrderedDict[str, dict[str, int]] = field(default_factory=OrderedDict)

    def record(self, part_id: str, instance: str) -> bool:
        """Record that a server holds a part; return whether that is news."""
        holders = self.parts.setdefault(part_id, {})
        self.parts.move_to_end(part_id)
        now_ms = self.clock.now_ms()
        before_ms = holders.get(instance)
        if before_ms is not None and now_ms - before_ms < ANNOUNCE_MS:
            return False
        holders[instance] = now_ms
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)
        return True

    def record_prompt(
        self, prompt: Sequence[PromptPart], instance: str
    ) -> list[tuple[str, str]]:
        """Record that a server reads a prompt; return what is news."""
        return [
            (part.part_id, instance)
            for part in shared_prefix(prompt)
            if self.record(part.part_id, instance)
        ]

    def holders(self, part_id: str) -> dict[str, int]:
        """Return the servers that hold a part, and when they were last known to."""
        holders = self.parts.get(part_id)
        if not holders:
            return {}
        oldest_ms = self.clock.now_ms() - HELD_MS
        return {
            instance: used_ms
            for instance, used_ms in holders.items()
            if used_ms >= oldest_ms
        }

    def cached_tokens(self, prompt: Sequence[PromptPart], instance: str) -> int:
        """Return the tokens at the start of a prompt that a server holds."""
        tokens = 0
        for part in shared_prefix(prompt):
            if instance not in self.holders(part.part_id):
                break
            tokens += part.tokens
        return tokens

    def best_source(
        self, prompt: Sequence[PromptPart], candidates: Sequence[str]
    ) -> tuple[str | None, int]:
        """Return the candidate that holds most of a prompt, and how many tokens."""
        best, most = None, 0
        for instance in candidates:
            tokens = self.cached_tokens(prompt, instance)
            if tokens > most:
                best, most = instance, tokens
        return best, most

    def remove_server(self, instance: str) -> None:
        """Forget what a server held that left or was started again."""
        for holders in self.parts.values():
            holders.pop(instance, None)

    def entries(self) -> list[tuple[str, str]]:
        """Return all parts and the servers that hold them."""
        return [
            (part_id, instance)
            for part_id in self.parts
            for instance in self.holders(part_id)
        ]
