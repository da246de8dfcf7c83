"""Drain of a process before it exits."""

from enum import StrEnum


class DrainPhase(StrEnum):
    """Phase of a process between start and exit."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class Drain:
    """Counts the work in flight and knows when a draining process may exit."""

    def __init__(self) -> None:
        self.leaving = False
        self.in_flight = 0

    @property
    def phase(self) -> DrainPhase:
        """Return the current phase."""
        if not self.leaving:
            return DrainPhase.SERVING
        return DrainPhase.DRAINING if self.in_flight else DrainPhase.DRAINED

    def start_work(self) -> bool:
        """Count new work; return ``False`` if the process is draining."""
        if self.leaving:
            return False
        self.in_flight += 1
        return True

    def end_work(self) -> None:
        """Count the end of started work."""
        if self.in_flight == 0:
            raise ValueError("no work is in flight")
        self.in_flight -= 1

    def leave(self) -> None:
        """Start the drain: refuse new work from now on."""
        self.leaving = True
