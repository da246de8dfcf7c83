"""Suspected members and their deadlines for refutation."""

from collections import Counter
from dataclasses import dataclass

from .member_table import Record

SUSPICION_TIMEOUT_MS = 5000


@dataclass
class Suspicion:
    """A suspicion that the member must refute before the deadline.

    ``raised_locally`` is set if it was raised by a failed probe of this process.
    """

    deadline_ms: int
    data_centre: str
    raised_locally: bool


class Suspicions:
    """Active suspicions by address."""

    def __init__(self) -> None:
        self.active: dict[str, Suspicion] = {}
        self.by_data_centre: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self.active)

    def begin(self, record: Record, now_ms: int, raised_locally: bool) -> None:
        """Add a suspicion unless the member is already suspected."""
        if record.address not in self.active:
            name = record.data_centre
            self.active[record.address] = Suspicion(
                now_ms + SUSPICION_TIMEOUT_MS, name, raised_locally
            )
            self.by_data_centre[name] += 1

    def end(self, address: str) -> None:
        """Remove a suspicion."""
        suspicion = self.active.pop(address, None)
        if suspicion is not None:
            self.by_data_centre[suspicion.data_centre] -= 1

    def restart_all(self, now_ms: int) -> None:
        """Restart the refutation time of all suspected members."""
        for suspicion in self.active.values():
            suspicion.deadline_ms = now_ms + SUSPICION_TIMEOUT_MS

    def restart(self, address: str, now_ms: int) -> None:
        """Restart the refutation time of one suspected member."""
        self.active[address].deadline_ms = now_ms + SUSPICION_TIMEOUT_MS

    def expired(self, now_ms: int) -> list[str]:
        """Return the addresses whose deadline has passed."""
        return [a for a, s in self.active.items() if now_ms >= s.deadline_ms]

    def in_data_centre(self, data_centre: str) -> list[str]:
        """Return the suspected members of a data centre."""
        return [a for a, s in self.active.items() if s.data_centre == data_centre]

    def raised_by_this_process(self) -> list[str]:
        """Return the members that this process suspected after its own probe failed."""
        return [a for a, s in self.active.items() if s.raised_locally]
