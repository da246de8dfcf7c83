"""What routers tell each other of prompt parts that crash servers."""

from itertools import islice

from .components import RouterComponents
from .coordination.part_crashes import PartCrash
from .logs import PART_CRASH, Log
from .protocol.peer_messages import Report

MAX_CRASHES_PER_REPORT = 100
"""Limit of the crashes of prompt parts in one report; the next ones carry the others."""

MAX_SOUND_PARTS_PER_REPORT = 200

WANTED_REPEAT_MS = 60_000
"""Interval at which refused parts that requests still have are reported again, so that
no router forgets them."""


class PartEvidenceExchange:
    """Selects the evidence for the next report, and applies that of peers."""

    def __init__(self, components: RouterComponents, log: Log) -> None:
        self.clock = components.clock
        self.crashing_parts = components.crashing_parts
        self.log = log
        self.next_crash = 0
        self.wanted_reported_ms = 0

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
