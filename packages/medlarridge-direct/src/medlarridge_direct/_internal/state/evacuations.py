"""Data centres whose servers get no more requests.

The state is that of one revision of the store, and only a later one replaces it.
"""

from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from medlarridge._internal.clock import Clock

from ..protocol.evacuations import EvacuationSnapshot
from ..protocol.peer_messages import Report
from ..protocol.revision import NO_REVISION, Revision
from .own_read import OwnRead

LOST_HOLD_MS = 60_000
"""Time for which a data centre stays evacuated if the store came back from an older copy
without its object. In this time the operator can write the object again."""

RETURNED_RETENTION_MS = 120_000
"""Time for which the return of a data centre is remembered. It is longer than servers
are cold."""

PAUSE_HOLD_MS = 1_000
"""Longest time for which nothing is accepted after the process stood still, until the
state is confirmed. A router that reaches the store needs some milliseconds for that."""

BUFFERED_REPORTS_MS = 200
"""Time after a pause in which reports may be read that came during it."""

MAX_REPORTED = 200
"""Data centres beyond which reports do not carry the state, as they must carry all of
it. Each router then reads the store itself."""


class EvacuationChange(Struct, frozen=True):
    """What a new state has changed, as sorted names of data centres.

    Those ``held`` are not listed any more since the store came back from an older copy.
    """

    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()
    held: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.evacuated or self.returned or self.held)


NO_CHANGE = EvacuationChange()


class Evacuations:
    """Holds the evacuated data centres at the newest known revision of the store.

    ``bound_ms`` is the time within which an evacuated data centre must get no more
    requests; it is None if the deployment has no evacuations, and all data centres are
    accepted then. ``listed`` are those that the store lists, ``learned_ms`` tells since
    when each evacuated one is known, ``returned_ms`` when each was taken back, and
    ``held_until_ms`` how long those count as evacuated that a new era of the store has
    lost. ``confirmed_ms`` is the last time at which the state was known to be the newest,
    and ``own_read`` the last time at which this router read it. ``outdated`` is set if
    this router's last watch failed and no peer has read the state lately.

    A process that stood still, as its VM did, finds requests when it goes on, and the
    reports that it missed are lost. ``ticked_ms`` is the last time at which it was known
    to run, and ``resumed_ms`` the time at which it went on after a long pause.
    """

    def __init__(self, clock: Clock, bound_ms: int | None = None) -> None:
        self.clock = clock
        self.bound_ms = bound_ms
        self.revision = NO_REVISION
        self.listed: frozenset[str] = frozenset()
        self.learned_ms: dict[str, int] = {}
        self.returned_ms: dict[str, int] = {}
        self.held_until_ms: dict[str, int] = {}
        self.confirmed_ms: int | None = None
        self.own_read = OwnRead(clock)
        self.outdated = False
        self.has_state = False
        self.ticked_ms: int | None = None
        self.resumed_ms: int | None = None

    @property
    def is_used(self) -> bool:
        """Return whether data centres can be evacuated in this deployment."""
        return self.bound_ms is not None

    @property
    def is_known(self) -> bool:
        """Return whether the state is known, from the store or from a peer."""
        return self.has_state or not self.is_used

    @property
    def half_bound_ms(self) -> int:
        """Return half of the bound: the age of an old state, and the time for fetches."""
        return (self.bound_ms or 0) // 2

    def accepts(self, data_centre: str) -> bool:
        """Return whether requests may be sent to the servers of a data centre.

        None may be sent while the state is not known, or after a long pause.
        """
        return (
            self.is_known
            and data_centre not in self.learned_ms
            and not self.is_after_pause
        )

    @property
    def accepts_all(self) -> bool:
        """Return whether requests may be sent to the servers of all data centres."""
        return self.is_known and not self.learned_ms and not self.is_after_pause

    @property
    def is_after_pause(self) -> bool:
        """Return whether the process has stood still and must confirm the state first."""
        if self.ticked_ms is None or not self.is_used:
            return False
        now_ms = self.clock.now_ms()
        if now_ms - self.ticked_ms >= self.half_bound_ms:
            return True
        if self.resumed_ms is None or now_ms - self.resumed_ms >= PAUSE_HOLD_MS:
            return False
        return (self.own_read.read_ms or 0) < self.resumed_ms and (
            self.confirmed_ms or 0
        ) < self.resumed_ms + BUFFERED_REPORTS_MS

    def record_tick(self) -> None:
        """Record that the process runs; after a long pause, the state is outdated."""
        now_ms = self.clock.now_ms()
        if self.ticked_ms is not None and (
            now_ms - self.ticked_ms >= self.half_bound_ms
        ):
            self.resumed_ms = now_ms
            self.outdated = True
        self.ticked_ms = now_ms

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether a data centre is known to be evacuated."""
        return data_centre in self.learned_ms

    def may_fetch_from(self, data_centre: str) -> bool:
        """Return whether other servers may fetch cached parts from a data centre."""
        learned_ms = self.learned_ms.get(data_centre)
        if learned_ms is None:
            return self.is_known
        return self.clock.now_ms() < learned_ms + self.half_bound_ms

    def returned_ms_ago(self, data_centre: str) -> int | None:
        """Return the time since a data centre was taken back, None if it was not lately."""
        returned_ms = self.returned_ms.get(data_centre)
        return None if returned_ms is None else self.clock.now_ms() - returned_ms

    def age_ms(self) -> int | None:
        """Return the time since the state was last known to be the newest."""
        if self.confirmed_ms is None:
            return None
        return self.clock.now_ms() - self.confirmed_ms

    def apply(self, snapshot: EvacuationSnapshot, read_ms: int) -> EvacuationChange:
        """Apply what the store had at ``read_ms``; return what has changed."""
        self.outdated = False
        if self.is_older(snapshot.revision):
            return NO_CHANGE
        change = self.replace(snapshot, {})
        self.confirm(read_ms)
        self.own_read.record(read_ms)
        return change

    def apply_peer(self, report: Report) -> EvacuationChange:
        """Apply the state that a report carries; return what has changed.

        The state of a report is complete. A peer without a state reports no revision
        and no age.
        """
        revision, age_ms = report.evacuations_revision, report.evacuations_age_ms
        if not self.is_used or (revision == NO_REVISION and age_ms < 0):
            return NO_CHANGE
        if self.is_older(revision):
            return NO_CHANGE
        change = NO_CHANGE
        if revision > self.revision or not self.has_state:
            ages_ms = dict(report.evacuated)
            change = self.replace(
                EvacuationSnapshot(revision, frozenset(ages_ms)), ages_ms
            )
        now_ms = self.clock.now_ms()
        for data_centre, returned_age_ms in report.returned:
            if data_centre not in self.learned_ms:
                self.record_returned(data_centre, now_ms - max(returned_age_ms, 0))
        if age_ms >= 0:
            self.confirm(now_ms - age_ms)
            self.outdated &= age_ms >= self.half_bound_ms or self.is_after_pause
        return change

    def confirm(self, read_ms: int) -> None:
        """Record that the current state was the newest at ``read_ms``."""
        if self.confirmed_ms is None or read_ms > self.confirmed_ms:
            self.confirmed_ms = read_ms

    def is_older(self, revision: Revision) -> bool:
        """Return whether a state of this revision is older than the current one."""
        return self.has_state and revision < self.revision

    def replace(
        self, snapshot: EvacuationSnapshot, ages_ms: dict[str, int]
    ) -> EvacuationChange:
        """Replace the state by a later one; return what has changed.

        ``ages_ms`` tells how long ago a peer learned of each evacuation.
        """
        begins_era = self.has_state and snapshot.revision.era > self.revision.era
        now_ms = self.clock.now_ms()
        evacuated = sorted(snapshot.data_centres - self.learned_ms.keys())
        for data_centre in snapshot.data_centres:
            age_ms = max(ages_ms.get(data_centre, 0), 0)
            self.record_evacuated(data_centre, now_ms - age_ms)
            self.held_until_ms.pop(data_centre, None)
        gone = sorted(self.listed - snapshot.data_centres)
        if begins_era:
            for data_centre in gone:
                self.held_until_ms[data_centre] = now_ms + LOST_HOLD_MS
        else:
            self.take_back(gone, now_ms)
        self.listed = snapshot.data_centres
        self.revision = snapshot.revision
        self.has_state = True
        return EvacuationChange(
            tuple(evacuated),
            () if begins_era else tuple(gone),
            tuple(gone) if begins_era else (),
        )

    def record_evacuated(self, data_centre: str, learned_ms: int) -> None:
        """Record since when an evacuation is known.

        The object may have been written right after the last confirmation. Counting from
        half of the bound after that at the latest, no fetch is later than the bound.
        """
        if self.confirmed_ms is None:
            latest_ms = self.clock.now_ms() - self.half_bound_ms
        else:
            latest_ms = self.confirmed_ms + self.half_bound_ms
        learned_ms = min(learned_ms, latest_ms)
        self.learned_ms[data_centre] = min(
            learned_ms, self.learned_ms.get(data_centre, learned_ms)
        )
        self.returned_ms.pop(data_centre, None)

    def take_back(self, data_centres: Iterable[str], returned_ms: int) -> None:
        """Record that data centres take requests again."""
        for data_centre in data_centres:
            self.learned_ms.pop(data_centre, None)
            self.held_until_ms.pop(data_centre, None)
            self.record_returned(data_centre, returned_ms)

    def record_returned(self, data_centre: str, returned_ms: int) -> None:
        """Record when a data centre was taken back, unless that is known.

        A later time of a peer is not taken: it grows by the delay of each report.
        """
        oldest_ms = self.clock.now_ms() - RETURNED_RETENTION_MS
        if returned_ms > oldest_ms:
            self.returned_ms.setdefault(data_centre, returned_ms)

    def expire(self) -> EvacuationChange:
        """End what has lasted long enough; return what that has changed."""
        now_ms = self.clock.now_ms()
        oldest_ms = now_ms - RETURNED_RETENTION_MS
        for data_centre, returned_ms in list(self.returned_ms.items()):
            if returned_ms <= oldest_ms:
                del self.returned_ms[data_centre]
        returned = sorted(
            data_centre
            for data_centre, until_ms in self.held_until_ms.items()
            if until_ms <= now_ms
        )
        self.take_back(returned, now_ms)
        return EvacuationChange(returned=tuple(returned))

    def report_fields(self) -> dict[str, Any]:
        """Return the fields of a report that carry the state, none without one."""
        if not self.is_reportable:
            return {}
        read_age_ms = self.own_read.age_ms()
        return {
            "evacuations_revision": self.revision,
            "evacuations_age_ms": -1 if read_age_ms is None else max(read_age_ms, 0),
            "evacuated": self.reported_evacuated(),
            "returned": self.reported_returned(),
        }

    @property
    def is_reportable(self) -> bool:
        """Return whether there is a state that fits into a report."""
        return self.is_used and self.has_state and len(self.listed) <= MAX_REPORTED

    def reported_evacuated(self) -> list[tuple[str, int]]:
        """Return the listed data centres and how long their evacuation is known."""
        now_ms = self.clock.now_ms()
        return [
            (data_centre, now_ms - self.learned_ms[data_centre])
            for data_centre in sorted(self.listed)
        ]

    def reported_returned(self) -> list[tuple[str, int]]:
        """Return the data centres that were taken back lately, the newest first."""
        now_ms = self.clock.now_ms()
        ages_ms = [
            (data_centre, now_ms - returned_ms)
            for data_centre, returned_ms in self.returned_ms.items()
        ]
        return sorted(ages_ms, key=lambda entry: entry[1])[:MAX_REPORTED]
