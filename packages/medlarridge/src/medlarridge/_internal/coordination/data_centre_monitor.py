"""Detection of data centres that become unreachable or return as a whole."""

from dataclasses import dataclass, field
from random import Random

from .member_table import MemberTable, Record, half_rounded_up

MIN_SUSPECTS = 3
VERIFICATION_PROBES = 5
CONTROL_PROBES = 2
VERIFICATION_INTERVAL_MS = 3000


@dataclass
class Verification:
    """Probes that determine whether a data centre is reachable."""

    data_centre: str
    pending: set[int] = field(default_factory=set)
    control_pending: set[int] = field(default_factory=set)
    answered: int = 0
    control_answered: int = 0


@dataclass
class DataCentreMonitor:
    """Verifies reports about data centres with probes of its own.

    A report from a peer only starts a verification, so a peer that is itself isolated
    cannot remove a data centre from the lists of others. Control probes to members
    outside that data centre distinguish an unreachable data centre from an isolated
    observer.
    """

    table: MemberTable
    random: Random
    own_data_centre: str
    own_address: str
    running: dict[str, Verification] = field(default_factory=dict)
    by_probe: dict[int, Verification] = field(default_factory=dict)
    last_started_ms: dict[str, int] = field(default_factory=dict)

    def should_verify(self, name: str, now_ms: int) -> bool:
        """Return whether a verification may start now."""
        last_started_ms = self.last_started_ms.get(name)
        return (
            name != self.own_data_centre
            and name not in self.running
            and bool(self.table.data_centres.get(name))
            and (
                last_started_ms is None
                or now_ms - last_started_ms >= VERIFICATION_INTERVAL_MS
            )
        )

    def needs_verification(self, name: str, suspects: int) -> bool:
        """Return whether the number of suspects requires a verification."""
        total = len(self.table.data_centres.get(name, {}))
        return name not in self.table.down_data_centres and suspects >= min(
            MIN_SUSPECTS, max(2, half_rounded_up(total))
        )

    def verification_targets(self, name: str) -> list[Record]:
        """Return a random sample of members to probe in a data centre."""
        records = [
            r for r in self.table.data_centres[name].values() if r.present
        ] or list(self.table.data_centres[name].values())
        return self.random.sample(records, min(VERIFICATION_PROBES, len(records)))

    def control_targets(self, name: str) -> list[Record]:
        """Return members for control probes, preferably in the own data centre.

        If the own data centre is cut off from all others, only its members can answer.
        """
        candidates = self.alive_members(self.own_data_centre)
        if len(candidates) < CONTROL_PROBES:
            candidates = [
                record
                for other in self.table.data_centres
                if other != name and other not in self.table.down_data_centres
                for record in self.alive_members(other)
            ]
        return self.random.sample(candidates, min(CONTROL_PROBES, len(candidates)))

    def alive_members(self, name: str) -> list[Record]:
        """Return the alive members of a data centre except this process."""
        return [
            record
            for record in self.table.data_centres[name].values()
            if record.is_alive and record.address != self.own_address
        ]

    def start(self, name: str, now_ms: int) -> Verification:
        """Start a verification; the caller sends the probes."""
        self.last_started_ms[name] = now_ms
        verification = self.running[name] = Verification(name)
        return verification

    def add_probe(
        self, verification: Verification, sequence: int, control: bool
    ) -> None:
        """Add a probe to a verification."""
        self.by_probe[sequence] = verification
        pending = verification.control_pending if control else verification.pending
        pending.add(sequence)

    def finish_probe(self, sequence: int, answered: bool) -> bool | None:
        """Record the result of a probe; return whether the data centre is reachable.

        Return None while the verification is running. A verification in which no
        probe was answered ends without a result.
        """
        verification = self.by_probe.pop(sequence, None)
        if verification is None:
            return None
        if sequence in verification.control_pending:
            verification.control_pending.discard(sequence)
            verification.control_answered += answered
        else:
            verification.pending.discard(sequence)
            verification.answered += answered
        if verification.answered:
            self.end(verification)
            return True
        if verification.pending or verification.control_pending:
            return None
        self.end(verification)
        return False if verification.control_answered else None

    def end(self, verification: Verification) -> None:
        """Remove a verification and its pending probes."""
        self.running.pop(verification.data_centre, None)
        for sequence in verification.pending | verification.control_pending:
            self.by_probe.pop(sequence, None)

    def clear(self) -> None:
        """Remove all verifications."""
        self.running.clear()
        self.by_probe.clear()
