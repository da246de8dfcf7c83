"""Command line of the soak: python -m soak --seeds 50."""

import asyncio
import sys
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import cappa

from .processes import ROOT, child_environment
from .scenarios import SCENARIOS

DEFAULT_LENGTH_S = 9.0
DEFAULT_SCENARIO = "faults"
RUN_TIMEOUT_S = 150
"""A run that takes longer is terminated and reported as hanging."""


@dataclass
class Soak:
    """Run seeded fault-injection runs against real routers."""

    seeds: Annotated[int, cappa.Arg(long=True, help="number of new seeds")] = 4
    first: Annotated[
        int | None, cappa.Arg(long=True, help="first seed; random if omitted")
    ] = None
    seed: Annotated[
        int | None, cappa.Arg(long=True, help="run only this seed, in this process")
    ] = None
    scenario: Annotated[
        str | None,
        cappa.Arg(long=True, help="kind of the runs; all in turn if omitted"),
    ] = None
    jobs: Annotated[int, cappa.Arg(long=True, help="number of concurrent runs")] = 3
    length: Annotated[
        float, cappa.Arg(long=True, help="length of the fault period in seconds")
    ] = DEFAULT_LENGTH_S
    untimed: Annotated[bool, cappa.Arg(long=True, help="skip the timing checks")] = (
        False
    )
    keep: Annotated[
        Path, cappa.Arg(long=True, help="directory for the files of failed runs")
    ] = Path(tempfile.gettempdir()) / "soak"

    def __call__(self) -> int:
        """Run the selected seeds; return 1 if a guarantee was violated."""
        if self.seed is not None:
            return asyncio.run(self.run_seed(self.seed))
        return asyncio.run(self.run_all())

    async def run_seed(self, seed: int) -> int:
        """Run one seed in this process; injects faults if no scenario is given."""
        scenario = self.scenario or DEFAULT_SCENARIO
        directory = self.keep / f"{scenario}-{seed}"
        directory.mkdir(parents=True, exist_ok=True)
        run = SCENARIOS[scenario](seed, self.length, directory, not self.untimed)
        violations = await run.execute()
        for line in violations:
            print(f"{scenario} seed {seed}: {line}")
        print(f"{scenario} seed {seed}: {run.observations.summary()}")
        return 1 if violations else 0

    async def run_all(self) -> int:
        """Run the regression seeds, then the new ones, ``jobs`` at a time."""
        text = Path(__file__).with_name("regressions.toml").read_text()
        cases = [
            (case.get("scenario", DEFAULT_SCENARIO), case["seed"])
            for case in tomllib.loads(text)["case"]
        ]
        first = SystemRandom().randrange(10**6) if self.first is None else self.first
        names = [self.scenario] if self.scenario else sorted(SCENARIOS)
        cases += [
            (names[seed % len(names)], seed)
            for seed in range(first, first + self.seeds)
        ]
        slots = asyncio.Semaphore(self.jobs)

        async def run_when_free(scenario: str, seed: int) -> bool:
            async with slots:
                return await self.run_in_subprocess(scenario, seed)

        results = await asyncio.gather(*(run_when_free(*case) for case in cases))
        failed = [
            case for case, passed in zip(cases, results, strict=True) if not passed
        ]
        print(
            f"{len(cases)} seeds from {first}, "
            f"{len(failed)} violated a guarantee {failed}"
        )
        return 1 if failed else 0

    async def run_in_subprocess(self, scenario: str, seed: int) -> bool:
        """Run a seed in a subprocess; return whether all guarantees held."""
        arguments = ["--seed", str(seed), "--length", str(self.length)]
        arguments += [
            "--scenario",
            scenario,
            "--keep",
            str(self.keep),
            *(["--untimed"] if self.untimed else []),
        ]
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "soak", *arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=child_environment(),
            cwd=ROOT,
        )
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S):
                output, _ = await process.communicate()
        except TimeoutError:
            process.terminate()
            print(
                f"{scenario} seed {seed}: FAULT: run did not end in time and was terminated"
            )
            return False
        print(output.decode(errors="replace").rstrip(), flush=True)
        return process.returncode == 0


if __name__ == "__main__":
    sys.exit(cappa.invoke(Soak))
