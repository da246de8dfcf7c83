"""A run in which all routers are killed at once and clients take up their streams."""

import asyncio
import signal
from dataclasses import dataclass
from random import Random

from .clients import Client
from .fleet import ROUTER_COUNT, SOFTWARE_VERSIONS
from .processes import monotonic_s
from .request_records import LONG_REQUEST_KINDS, SentRequest
from .run import SoakRun, scenario

LOSS_S = 9.0
"""Length of the fault period of other runs for which two losses are played."""
AFTER_LOSS_S = 7.5
"""Time for which clients go on after the routers are ready again."""
PATIENT_CLIENTS = 36
"""Clients that stay until their streams end; the others only begin streams."""
RETURN_S = 0.8
"""Mean time after which a client asks again for the rest of a stream."""
MIN_LEFT_S = 0.5
"""Time before its deadline from which a stream is not taken up."""


@dataclass(frozen=True, slots=True)
class RouterLoss:
    """A loss of all routers, with a release of the servers around it or not."""

    warm_up_s: float
    away_s: float
    release_s: float | None
    """Time from the release to the loss; negative if the loss comes first."""
    released: int
    """Number of servers that the release replaces."""


def make_losses(seed: int, length_s: float) -> list[RouterLoss]:
    """Return the losses of a seed."""
    random = Random(f"{seed}-take-ups")
    return [
        RouterLoss(
            warm_up_s=round(random.uniform(4, 7), 2),
            away_s=round(random.uniform(0, 2), 2),
            release_s=random.choice([None, round(random.uniform(-1, 4), 2)]),
            released=random.choice([1, 2, 4]),
        )
        for _ in range(max(1, round(length_s * 2 / LOSS_S)))
    ]


@scenario("take-ups")
class TakeUpRun(SoakRun):
    """Kills all routers while servers of one or two software versions serve."""

    client_count = 46
    clients_leave = True
    request_kinds = LONG_REQUEST_KINDS[:1]
    pools = ("talk", "talk", "talk", "talk", "desk")
    ingress_group = 1

    def make_plan(self) -> list[RouterLoss]:
        """Return the losses of the seed."""
        return make_losses(self.seed, self.length_s)

    def disconnect_after_s(self, number: int, random: Random) -> float | None:
        """Return None for clients that take up streams; others leave to begin new ones."""
        return None if number < PATIENT_CLIENTS else random.uniform(0.5, 2)

    async def take_up_stream(
        self, client: Client, request: SentRequest, key: str, random: Random
    ) -> None:
        """Ask for the rest of a stream until it has ended or its time is over."""
        end_s = request.sent_s + request.kind.deadline_ms / 1000 - MIN_LEFT_S
        rest = request
        while rest.can_be_taken_up or (rest.first is not None and not rest.served):
            await asyncio.sleep(random.uniform(0.5, 1.5) * RETURN_S)
            if self.stopping or monotonic_s() > end_s:
                return
            router = random.choice(self.fleet.rotation())
            broken = rest if rest.last_event > request.last_event else request
            rest = await client.take_up(broken, router, self.ingress(router), key)
            if rest.status == 200:
                request = rest

    async def play(self) -> None:
        """Play the losses one after the other."""
        random = Random(f"{self.seed}-versions")
        if random.random() < 1 / 3:
            await self.release(SOFTWARE_VERSIONS[0], len(self.pools) - 1)
        for number, loss in enumerate(self.make_plan()):
            await self.lose_routers(loss, f"v{number + 3}")

    async def lose_routers(self, loss: RouterLoss, version: str) -> None:
        """Kill all routers and start them again, with a release around it or not."""
        await asyncio.sleep(loss.warm_up_s)
        release_task = None
        if loss.release_s is not None and loss.release_s >= 0:
            release_task = asyncio.create_task(self.release(version, loss.released))
            await asyncio.sleep(loss.release_s)
        for number, process in enumerate(self.fleet.routers):
            self.fleet.end_ready_span(number)
            process.signal(signal.SIGKILL)
        if loss.release_s is not None and loss.release_s < 0:
            await asyncio.sleep(-loss.release_s)
            release_task = asyncio.create_task(self.release(version, loss.released))
        await asyncio.sleep(loss.away_s)
        await asyncio.gather(*(self.bring_back(n) for n in range(ROUTER_COUNT)))
        await asyncio.sleep(AFTER_LOSS_S)
        if release_task is not None:
            await release_task

    async def bring_back(self, number: int) -> None:
        """Start a router again and wait until it is ready."""
        await self.fleet.start_router(number)
        await self.fleet.wait_until_ready(number)

    async def release(self, version: str, count: int) -> None:
        """Replace servers by ones of another version, two at a time."""
        for first in range(0, count, 2):
            numbers = range(first, min(first + 2, count))
            await asyncio.gather(*(self.replace(each, version) for each in numbers))

    async def replace(self, number: int, version: str) -> None:
        """Drain a server and start one of another version in its place."""
        await self.fleet.drain_server(number)
        await self.fleet.start_server(number, version=version)
