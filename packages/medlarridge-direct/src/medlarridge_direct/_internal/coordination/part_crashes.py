"""Prompt parts and the servers that went down under them."""

from collections.abc import Iterable, Sequence

import xxhash
from msgspec import Struct, field

TOGETHER_MS = 1_000
"""Servers that go down within this time count as one crash."""

MAX_KEY_LENGTH = 32

MAX_COUNTS_KEPT = 10_000

MAX_OWN_KEYS = 64
SHARED_KEYS = 16
"""Parts of one prompt that have a key of their own, and keys that all others share."""


def part_key(part_id: str) -> str:
    """Return a bounded key of a prompt part."""
    if len(part_id) <= MAX_KEY_LENGTH:
        return part_id
    return xxhash.xxh64_hexdigest(part_id.encode())


def count_times(times_ms: Iterable[int]) -> int:
    """Return the number of times, taking those that are close together as one."""
    count, group_ms = 0, None
    for time_ms in sorted(times_ms):
        if group_ms is None or time_ms - group_ms >= TOGETHER_MS:
            count, group_ms = count + 1, time_ms
    return count


def part_keys(part_ids: Sequence[str]) -> tuple[str, ...]:
    """Return the keys of the parts of one prompt, at most a fixed number.

    Of a prompt with very many parts the last ones share a few keys, so that whoever
    names the parts cannot name any number of suspects.
    """
    own = part_ids[:MAX_OWN_KEYS]
    buckets = {
        f"shared-key-{xxhash.xxh64_intdigest(part_id.encode()) % SHARED_KEYS}"
        for part_id in part_ids[MAX_OWN_KEYS:]
    }
    return (*map(part_key, own), *sorted(buckets))


class PartCrash(Struct, frozen=True):
    """A server that went down under a request with a part, and how long ago."""

    part: str
    server: str
    age_ms: int = 0


class Suspect(Struct):
    """A part that was running on servers when they went down.

    ``crashes`` are the times by start of a server. ``wanted_ms`` is the last time at
    which a request with the part was known to come, ``requests`` how many came here.
    ``trials`` counts the requests that tried the part, the last one at ``trial_ms``.
    ``stored_crashes`` is not 0 if the part was found refused at ``stored_ms``, and
    counts the crashes before that. ``mask`` has a bit for each server in ``crashes``.
    """

    crashes: dict[str, int] = field(default_factory=dict)
    wanted_ms: int = 0
    trial_ms: int = 0
    trials: int = 0
    requests: int = 0
    stored_crashes: int = 0
    stored_ms: int = 0
    mask: int = 0

    @property
    def crash_count(self) -> int:
        """Return how many servers are known to have crashed under the part."""
        later = sum(time_ms > self.stored_ms for time_ms in self.crashes.values())
        return max(len(self.crashes), self.stored_crashes + later)

    @property
    def last_event_ms(self) -> int:
        """Return the time of the last crash or trial."""
        return max(self.trial_ms, *self.crashes.values(), 0)


class CrashedServers(Struct):
    """The servers that went down, each with a bit in masks of servers.

    A start of a server goes down once, so one time is kept for all parts.
    """

    bits: dict[str, int] = field(default_factory=dict)
    times_ms: list[int] = field(default_factory=list)
    counts: dict[int, int] = field(default_factory=dict)

    def bit(self, server: str, crashed_ms: int) -> int:
        """Return the mask of one server."""
        number = self.bits.get(server)
        if number is None:
            number = self.bits[server] = len(self.times_ms)
            self.times_ms.append(crashed_ms)
        return 1 << number

    def mask(self, crashes: dict[str, int]) -> int:
        """Return the mask of some servers with their times."""
        mask = 0
        for server, crashed_ms in crashes.items():
            mask |= self.bit(server, crashed_ms)
        return mask

    def count_times(self, mask: int) -> int:
        """Return at how many times the servers of a mask went down."""
        count = self.counts.get(mask)
        if count is None:
            if len(self.counts) >= MAX_COUNTS_KEPT:
                self.counts.clear()
            count = self.counts[mask] = count_times(self.times_of(mask))
        return count

    def times_of(self, mask: int) -> list[int]:
        """Return the times at which the servers of a mask went down."""
        times_ms = []
        while mask:
            lowest = mask & -mask
            times_ms.append(self.times_ms[lowest.bit_length() - 1])
            mask ^= lowest
        return times_ms
