"""Suspects known to one process, and their gossip."""

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

from ..clock import Clock
from ..protocol.suspects import SuspectNotice, SuspectNotices
from .suspect_rules import STRIKE_RETENTION_MS, effective_strikes
from .suspect_store_requests import SuspectShardView

MAX_KNOWN_SUSPECTS = 50_000
MAX_NOTICES = 6
"""Notices in one gossip datagram; each takes about 30 bytes."""
NOTICE_SENDS = 12
"""How often a process gossips one notice; enough to reach thousands of nodes."""


@dataclass
class KnownSuspect:
    """Strikes of a fingerprint, with the stored version they were read at."""

    strikes: int
    last_strike_ms: int
    version: int


@dataclass
class SuspectTable:
    """Suspects that a process has read, received from peers or detected itself."""

    clock: Clock
    known: OrderedDict[str, KnownSuspect] = field(default_factory=OrderedDict)
    sends_left: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def learn_shard(self, view: SuspectShardView) -> None:
        """Add the suspects of a shard that was read or written."""
        for fingerprint, suspect in view.shard.suspects.items():
            if suspect.strikes:
                last_ms = max(strike.at_ms for strike in suspect.strikes)
                self.learn(
                    fingerprint, effective_strikes(suspect), last_ms, view.version
                )

    def learn(
        self, fingerprint: str, strikes: int, last_strike_ms: int, version: int
    ) -> bool:
        """Update a fingerprint if the state is newer; return whether it changed."""
        now = self.clock.now_ms()
        last_ms = min(last_strike_ms, now)
        known = self.known.get(fingerprint)
        if last_ms + STRIKE_RETENTION_MS <= now or not (known or strikes or version):
            return False
        if known is not None and not replaces(known, strikes, version):
            return False
        is_new = known is None or known.strikes != strikes
        # A cleared suspect stays in the table, so that a late notice cannot restore it.
        version = max(version, known.version if known else 0)
        self.known[fingerprint] = KnownSuspect(strikes, last_ms, version)
        self.known.move_to_end(fingerprint)
        if is_new:
            self.sends_left[fingerprint] = NOTICE_SENDS
        if len(self.known) > MAX_KNOWN_SUSPECTS:
            oldest, _ = self.known.popitem(last=False)
            self.sends_left.pop(oldest, None)
        return is_new

    def receive(self, message: SuspectNotices) -> SuspectNotices | None:
        """Add the notices of a peer; return the new ones to push to other peers."""
        now = self.clock.now_ms()
        new_notices = [
            notice
            for notice in message.notices
            if notice.strikes >= 0
            and 0 <= notice.age_ms < STRIKE_RETENTION_MS
            and self.learn(
                notice.fingerprint, notice.strikes, now - notice.age_ms, notice.version
            )
        ]
        return SuspectNotices(new_notices) if new_notices else None

    def notices(self, max_count: int = MAX_NOTICES) -> SuspectNotices | None:
        """Return the next notices to gossip, in rotation."""
        now = self.clock.now_ms()
        due = []
        for fingerprint in list(itertools.islice(self.sends_left, max_count)):
            left = self.sends_left.pop(fingerprint) - 1
            known = self.known.get(fingerprint)
            if known is None or known.last_strike_ms + STRIKE_RETENTION_MS <= now:
                continue
            if left:
                self.sends_left[fingerprint] = left
            age_ms = now - known.last_strike_ms
            due.append(SuspectNotice(fingerprint, known.strikes, age_ms, known.version))
        return SuspectNotices(due) if due else None

    def strike_count(self, fingerprint: str) -> int:
        """Return the effective number of known strikes of a fingerprint."""
        known = self.known.get(fingerprint)
        if known is None:
            return 0
        if known.last_strike_ms + STRIKE_RETENTION_MS <= self.clock.now_ms():
            del self.known[fingerprint]
            return 0
        return known.strikes

    def refused_for_ms(self, fingerprint: str) -> int:
        """Return the remaining time for which a known suspect is kept."""
        last_ms = self.known[fingerprint].last_strike_ms
        return last_ms + STRIKE_RETENTION_MS - self.clock.now_ms()


def replaces(known: KnownSuspect, strikes: int, version: int) -> bool:
    """Return whether strikes read at a version replace the known ones.

    Strikes that are not stored yet have version 0 and can only increase the number.
    """
    if version > known.version:
        return True
    return version in (0, known.version) and strikes > known.strikes
