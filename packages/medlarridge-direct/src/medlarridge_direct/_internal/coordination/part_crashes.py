"""Prompt parts and the servers that went down under them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

TOGETHER_MS = 1_000
"""Servers that go down within this time count as one crash."""

MAX_KEY_LENGTH = 32


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


@dataclass(frozen=True, slots=True)
class PartCrash:
    """A server that went down under a request with a part, and how long ago."""

    part: str
    server: str
    age_ms: int = 0


@dataclass(slots=True)
class Suspect:
    """A part that was running on servers when they went down.

    ``crashes`` are the times by start of a server. ``wanted_ms`` is the last time at
    which a request with the part was known to come, ``requests`` how many came here.
    ``trials`` counts the requests that tried the part, the last one at ``trial_ms``.
    ``stored_crashes`` is not 0 if the part was found refused at ``stored_ms``, and
    counts the crashes before that.
    """

    crashes: dict[str, int] = field(default_factory=dict)
    wanted_ms: int = 0
    trial_ms: int = 0
    trials: int = 0
    requests: int = 0
    stored_crashes: int = 0
    stored_ms: int = 0

    @property
    def crash_count(self) -> int:
        """Return how many servers are known to have crashed under the part."""
        later = sum(time_ms > self.stored_ms for time_ms in self.crashes.values())
        return max(len(self.crashes), self.stored_crashes + later)

    @property
    def last_event_ms(self) -> int:
        """Return the time of the last crash or trial."""
        return max(self.trial_ms, *self.crashes.values(), 0)
