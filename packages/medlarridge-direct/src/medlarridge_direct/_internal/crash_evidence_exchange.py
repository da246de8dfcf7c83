"""What routers tell each other of requests and prompt parts that crash servers.

All peers are told what this router itself has found lately. A peer that has just started,
or was not heard for a while, is told all evidence, alone and by a few routers: evidence
that every router repeats to all others fills the links of a fleet after each crash.
"""

from collections import deque
from collections.abc import Iterator
from itertools import islice

from msgspec import Struct

from .components import RouterComponents
from .coordination.crash_detector import Strike
from .coordination.part_crashes import PartCrash
from .logs import PART_CRASH, Log
from .protocol.peer_messages import HeldStrike, Report
from .state.peer_table import Address

NEWS_REPEAT_MS = 1_000
"""Time for which reports repeat what this router has found, since single reports may be
lost."""

MAX_NEWS = 2_000
"""Limit of the findings that are repeated; the oldest ones are dropped."""

MAX_STRIKES_PER_REPORT = 60
"""Limit of the strikes in one report; those of the newest requests go first."""

MAX_CRASHES_PER_REPORT = 100
"""Limit of the crashes of prompt parts in one report; the next ones carry the others."""

MAX_SOUND_PARTS_PER_REPORT = 200

HANDOVER_REPEATS = 3
"""Number of reports by which a peer is told all strikes, since single ones may be lost."""

WANTED_REPEAT_MS = 60_000
"""Interval at which refused parts that requests still have are reported again, so that
no router forgets them."""


class CrashEvidence(Struct, frozen=True):
    """The evidence of one report, see ``Report``."""

    strikes: list[HeldStrike]
    crashes: list[tuple[str, str, int]]
    sound_parts: list[tuple[str, int]]
    wanted_parts: list[tuple[str, int]]
    tried_parts: list[tuple[str, int]]

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not any(getattr(self, name) for name in self.__struct_fields__)


class CrashEvidenceExchange:
    """Selects the evidence for the next reports, and applies that of peers.

    ``news`` is what this router has found, and when. ``handovers`` has how often a peer
    is still to be told all evidence.
    """

    def __init__(self, components: RouterComponents, log: Log) -> None:
        self.clock = components.clock
        self.crash_guard = components.crash_guard
        self.crashing_parts = components.crashing_parts
        self.log = log
        self.news: deque[tuple[int, Strike | PartCrash]] = deque(maxlen=MAX_NEWS)
        self.handovers: dict[Address, int] = {}
        self.changed_until_ms = 0
        self.next_crash = 0
        self.wanted_reported_ms = 0

    # News for all peers

    def add_news(self, evidence: list[Strike | PartCrash]) -> None:
        """Let the next reports carry what this router has found."""
        now_ms = self.clock.now_ms()
        self.news.extend((now_ms, each) for each in evidence)

    def begin_repeating(self) -> None:
        """Let the next reports tell which parts are refused and were tried."""
        self.changed_until_ms = self.clock.now_ms() + NEWS_REPEAT_MS

    def recent_news(self) -> Iterator[tuple[int, Strike | PartCrash]]:
        """Yield what is still repeated, the newest first, and the age of each."""
        now_ms = self.clock.now_ms()
        while self.news and self.news[0][0] < now_ms - NEWS_REPEAT_MS:
            self.news.popleft()
        for found_ms, each in reversed(self.news):
            yield now_ms - found_ms, each

    def next_news(self) -> CrashEvidence:
        """Return the evidence for a report to all peers."""
        strikes, crashes = [], []
        for age_ms, each in self.recent_news():
            if isinstance(each, Strike):
                strikes.append(HeldStrike(each.fingerprint, each.server, age_ms))
            else:
                crashes.append((each.part, each.server, each.age_ms + age_ms))
        repeats = self.clock.now_ms() <= self.changed_until_ms
        return CrashEvidence(
            strikes[:MAX_STRIKES_PER_REPORT],
            crashes[:MAX_CRASHES_PER_REPORT],
            self.sound_parts(),
            self.wanted_parts() if repeats else [],
            self.tried_parts() if repeats else [],
        )

    # All evidence for one peer

    def begin_handover(self, address: Address) -> None:
        """Tell a peer all evidence with the next reports to it."""
        if self.crash_guard.strikes or self.crashing_parts.suspects:
            self.handovers[address] = HANDOVER_REPEATS

    def next_handover(self, address: Address) -> CrashEvidence:
        """Return the next evidence for a peer that is told all; crashes take turns."""
        left = self.handovers.pop(address) - 1
        crashes = self.next_crashes()
        if left > 0 or self.next_crash:
            self.handovers[address] = max(left, 1)
        return CrashEvidence(
            self.crash_guard.newest_strikes(MAX_STRIKES_PER_REPORT),
            crashes,
            self.sound_parts(),
            self.wanted_parts(),
            self.tried_parts(),
        )

    def next_crashes(self) -> list[tuple[str, str, int]]:
        """Return parts, servers and ages of crashes; reports take turns if many."""
        start = self.next_crash
        self.next_crash += MAX_CRASHES_PER_REPORT
        crashes = list(
            islice(self.crashing_parts.held_crashes(), start, self.next_crash)
        )
        if len(crashes) < MAX_CRASHES_PER_REPORT:
            self.next_crash = 0
        return [(crash.part, crash.server, crash.age_ms) for crash in crashes]

    def sound_parts(self) -> list[tuple[str, int]]:
        """Return parts that were answered, with the ages of their last successes."""
        answered = self.with_ages(self.crashing_parts.answered_lately())
        return answered[-MAX_SOUND_PARTS_PER_REPORT:]

    def wanted_parts(self) -> list[tuple[str, int]]:
        """Return refused parts, with the ages of the last requests for them."""
        return self.with_ages(self.crashing_parts.wanted())

    def tried_parts(self) -> list[tuple[str, int]]:
        """Return parts that were tried, with the ages of the last trials."""
        return self.with_ages(self.crashing_parts.trials())

    def with_ages(self, times_ms: list[tuple[str, int]]) -> list[tuple[str, int]]:
        """Return ages in place of times."""
        now_ms = self.clock.now_ms()
        return [(part, now_ms - time_ms) for part, time_ms in times_ms]

    def must_repeat(self) -> bool:
        """Return whether refused parts that requests still have are due again."""
        now_ms = self.clock.now_ms()
        if now_ms - self.wanted_reported_ms < WANTED_REPEAT_MS:
            return False
        oldest_ms = now_ms - WANTED_REPEAT_MS
        wanted = self.crashing_parts.wanted()
        if not any(wanted_ms > oldest_ms for _, wanted_ms in wanted):
            return False
        self.wanted_reported_ms = now_ms
        return True

    def apply(self, report: Report) -> None:
        """Record what a peer knows."""
        new_crashes = [
            crash
            for crash in (PartCrash(*fields) for fields in report.part_crashes)
            if self.crashing_parts.add_crash(crash)
        ]
        self.log_crashes(new_crashes, peer=True)
        for part, age_ms in report.sound_parts:
            self.crashing_parts.record_peer_success(part, age_ms)
        for part, age_ms in report.wanted_parts:
            self.crashing_parts.record_wanted(part, age_ms)
        for part, age_ms in report.tried_parts:
            self.crashing_parts.record_trial(part, age_ms)

    def log_crashes(self, crashes: list[PartCrash], peer: bool) -> None:
        """Log crashes of prompt parts, one line a server."""
        for server in dict.fromkeys(crash.server for crash in crashes):
            self.log.event(
                PART_CRASH,
                server=server,
                parts=[crash.part for crash in crashes if crash.server == server],
                age_ms=min(crash.age_ms for crash in crashes if crash.server == server),
                peer=peer,
            )
