"""Detection of slow servers from the latencies that this router observes."""

from random import Random

import anyio

from medlarridge._internal.clock import MS_PER_S, Clock
from medlarridge._internal.coordination.outlier import EVALUATE_MS, OutlierDetector
from medlarridge._internal.coordination.retry import Target
from medlarridge._internal.events import register
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.identity import Member
from medlarridge._internal.log import log_event
from medlarridge._internal.transport.attempt_client import AttemptClient

TOKENS_PER_WORK_UNIT = 1_000
"""Prompt tokens that roughly double the time to the first token of a short prompt."""

SERVER_STATE = register(1200, "WARNING", "outlier state of a server changed")


class SlowServers:
    """Avoids slow servers as first choice; keeps one detector per pool.

    At the target size of the fleet, a router sees one response of a server every 30 s,
    too few for a detection. In fleets with few routers, each sees enough.
    """

    def __init__(self, fleet: FleetView, clock: Clock, random: Random) -> None:
        self.fleet = fleet
        self.clock = clock
        self.random = random
        self.detectors: dict[str, OutlierDetector] = {}

    def record(self, target: Target, client: AttemptClient) -> None:
        """Record the latencies of a complete response."""
        detector = self.detectors.get(target.pool)
        if detector is None:
            detector = OutlierDetector(self.clock, self.random)
            self.detectors[target.pool] = detector
        first_ms_per_unit = None
        if client.first_piece_ms is not None:
            work_units = 1 + client.attempt.prompt_tokens / TOKENS_PER_WORK_UNIT
            first_ms_per_unit = (client.first_piece_ms - client.started_ms) / work_units
        detector.record(
            target.address, first_ms_per_unit, client.mean_piece_interval_ms()
        )

    def first_choice(self, pool: str, members: list[Member]) -> Member | None:
        """Return the first member that is not slow, or the first if all are."""
        detector = self.detectors.get(pool)
        for member in members:
            if detector is None or detector.accepts(member.instance.address):
                return member
        return members[0] if members else None

    async def run(self) -> None:
        """Evaluate the servers of each pool once per second."""
        while True:
            await anyio.sleep(EVALUATE_MS / MS_PER_S)
            self.evaluate()

    def evaluate(self) -> None:
        """Compare the servers of each pool and log changes of their state."""
        for pool, detector in list(self.detectors.items()):
            members = self.fleet.members_of(pool)
            if not members:
                del self.detectors[pool]
                continue
            detector.retain({member.instance.address for member in members})
            for change in detector.evaluate():
                log_event(
                    SERVER_STATE,
                    pool=pool,
                    server=change.server,
                    state=change.state,
                    signal=change.signal,
                    ratio=round(change.ratio, 2),
                )
