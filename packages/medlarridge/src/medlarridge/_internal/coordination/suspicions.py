"""Members that must refute a suspicion."""

from collections import Counter
from dataclasses import dataclass

from .member_table import Record

SUSPICION_MS = 5000


@dataclass
class Suspicion:
    """A member that must refute before the deadline.

    ``own`` says that a failed probe of this process raised the suspicion.
    """

    deadline_ms: int
    data_centre: str
    own: bool


class Suspicions:
    """Running suspicions by address."""

    def __init__(self) -> None:
        self.running: dict[str, Suspicion] = {}
        self.by_data_centre: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self.running)

    def begin(self, record: Record, now_ms: int, own: bool) -> None:
        """Set the deadline of a suspicion that is not running yet."""
        if record.address not in self.running:
            name = record.data_centre
            self.running[record.address] = Suspicion(now_ms + SUSPICION_MS, name, own)
            self.by_data_centre[name] += 1

    def end(self, address: str) -> None:
        """Forget a suspicion."""
        suspicion = self.running.pop(address, None)
        if suspicion is not None:
            self.by_data_centre[suspicion.data_centre] -= 1

    def restart(self, now_ms: int) -> None:
        """Give all suspected members the whole time to refute."""
        for suspicion in self.running.values():
            suspicion.deadline_ms = now_ms + SUSPICION_MS

    def extend(self, address: str, now_ms: int) -> None:
        """Give one suspected member the whole time to refute."""
        self.running[address].deadline_ms = now_ms + SUSPICION_MS

    def due(self, now_ms: int) -> list[str]:
        """Return the addresses whose deadline has passed."""
        return [a for a, s in self.running.items() if now_ms >= s.deadline_ms]

    def within(self, data_centre: str) -> list[str]:
        """Return the suspected members of a data centre."""
        return [a for a, s in self.running.items() if s.data_centre == data_centre]

    def raised_here(self) -> list[str]:
        """Return the members that only this process accuses at first hand."""
        return [a for a, s in self.running.items() if s.own]
