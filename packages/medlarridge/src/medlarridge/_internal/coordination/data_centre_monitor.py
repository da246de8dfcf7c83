"""Detection of data centres that vanish or return as a whole."""

from dataclasses import dataclass, field
from random import Random

from .member_table import MemberTable, Record, half

MIN_SUSPECTS = 3
PROBES = 5
CONTROL_PROBES = 2
COOLDOWN_MS = 3000


@dataclass
class Verification:
    """Own probes that decide whether a data centre is reachable."""

    data_centre: str
    pending: set[int] = field(default_factory=set)
    control_pending: set[int] = field(default_factory=set)
    answered: int = 0
    control_answered: int = 0


@dataclass
class DataCentreMonitor:
    """Verifies each claim about a data centre with own probes.

    A summary entry from a peer only starts a verification, so a peer that is
    itself cut off cannot remove a data centre from anybody else's list. The control
    probes to other data centres tell a lost data centre from a lost observer.
    """

    table: MemberTable
    random: Random
    own_data_centre: str
    own_address: str
    running: dict[str, Verification] = field(default_factory=dict)
    by_probe: dict[int, Verification] = field(default_factory=dict)
    last_ms: dict[str, int] = field(default_factory=dict)

    def should_verify(self, name: str, now_ms: int) -> bool:
        """Return whether a verification may start now."""
        last_ms = self.last_ms.get(name)
        return (
            name != self.own_data_centre
            and name not in self.running
            and bool(self.table.data_centres.get(name))
            and (last_ms is None or now_ms - last_ms >= COOLDOWN_MS)
        )

    def is_suspicious(self, name: str, suspects: int) -> bool:
        """Return whether so many suspects call for a verification."""
        total = len(self.table.data_centres.get(name, {}))
        return name not in self.table.down_data_centres and suspects >= min(
            MIN_SUSPECTS, max(2, half(total))
        )

    def sample(self, name: str) -> list[Record]:
        """Return the members to probe in a data centre."""
        records = [
            r for r in self.table.data_centres[name].values() if r.present
        ] or list(self.table.data_centres[name].values())
        return self.random.sample(records, min(PROBES, len(records)))

    def controls(self, name: str) -> list[Record]:
        """Return members elsewhere that should answer, if possible near ones.

        Seen from a data centre that lost all others, only near ones can answer.
        """
        near = self.alive_in(self.own_data_centre)
        if len(near) < CONTROL_PROBES:
            near = [
                record
                for other in self.table.data_centres
                if other != name and other not in self.table.down_data_centres
                for record in self.alive_in(other)
            ]
        return self.random.sample(near, min(CONTROL_PROBES, len(near)))

    def alive_in(self, name: str) -> list[Record]:
        """Return the unsuspected members of a data centre except this process."""
        return [
            record
            for record in self.table.data_centres[name].values()
            if record.is_alive and record.address != self.own_address
        ]

    def start(self, name: str, now_ms: int) -> Verification:
        """Begin a verification; the caller sends the probes."""
        self.last_ms[name] = now_ms
        verification = self.running[name] = Verification(name)
        return verification

    def expect(self, verification: Verification, sequence: int, control: bool) -> None:
        """Attach a probe to a verification."""
        self.by_probe[sequence] = verification
        pending = verification.control_pending if control else verification.pending
        pending.add(sequence)

    def finish_probe(self, sequence: int, answered: bool) -> bool | None:
        """Record the end of a probe; return the verdict once it is certain.

        True means reachable, False unreachable. A verification without an answer
        from anywhere ends without a verdict.
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
        """Forget a verification."""
        self.running.pop(verification.data_centre, None)
        for sequence in verification.pending | verification.control_pending:
            self.by_probe.pop(sequence, None)

    def clear(self) -> None:
        """Forget all verifications."""
        self.running.clear()
        self.by_probe.clear()
