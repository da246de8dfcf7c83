"""A run in which servers write earlier refusals once more on kept connections."""

import asyncio
from dataclasses import dataclass
from random import Random

from .processes import monotonic_s
from .run import SETTLE_TIME_S, SoakRun, scenario


@dataclass(frozen=True, slots=True)
class ServerRates:
    """Shares of the responses of all servers that are faulty, for some time."""

    for_s: float
    rates: dict[str, float]


def make_rates(seed: int, length_s: float) -> list[ServerRates]:
    """Return the rates of a seed, one after the other."""
    random = Random(f"{seed}-refusals")
    return [
        ServerRates(
            length_s / 2,
            {
                "repeat": random.choice([0.05, 0.2, 0.5]),
                "rest": random.choice([0.0, 0.05]),
                "busy": random.choice([0.0, 0.05]),
                "extra": random.choice([0.0, 0.05]),
                "cut": random.choice([0.0, 0.2]),
                "error": random.choice([0.0, 0.2]),
            },
        )
        for _ in range(2)
    ]


@scenario("refusals")
class RefusalRun(SoakRun):
    """Lets servers repeat refusals; routers, links and the store are sound."""

    ingress_group = 1

    def make_plan(self) -> list[ServerRates]:
        """Return the rates of the seed."""
        return make_rates(self.seed, self.length_s)

    async def play(self) -> None:
        """Set the rates one after the other, then let all servers be sound."""
        for each in self.make_plan():
            for server in self.fleet.servers:
                server.send_command(each.rates)
            await asyncio.sleep(each.for_s)
        for server in self.fleet.servers:
            server.send_command({})
        await asyncio.sleep(SETTLE_TIME_S)
        self.observations.faults_end_s = monotonic_s()
        await asyncio.sleep(1)
