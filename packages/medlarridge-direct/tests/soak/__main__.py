"""Plays seeds of the soak: python -m soak --seeds 50."""

import asyncio
import sys
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import cappa

from .processes import ROOT, environment
from .run import SoakRun

LENGTH_S = 9.0
MOST_S = 150
"""Time after which a run counts as hanging."""


@dataclass
class Soak:
    """Play seeded runs with real routers and faults from outside."""

    seeds: Annotated[int, cappa.Arg(long=True, help="number of fresh seeds")] = 4
    first: Annotated[
        int | None, cappa.Arg(long=True, help="first seed; drawn if missing")
    ] = None
    seed: Annotated[
        int | None, cappa.Arg(long=True, help="play this seed only, in this process")
    ] = None
    jobs: Annotated[int, cappa.Arg(long=True, help="runs at a time")] = 3
    length: Annotated[float, cappa.Arg(long=True, help="seconds of faults")] = LENGTH_S
    untimed: Annotated[bool, cappa.Arg(long=True, help="leave out times")] = False
    keep: Annotated[
        Path, cappa.Arg(long=True, help="directory for what failing runs leave")
    ] = Path(tempfile.gettempdir()) / "soak"

    def __call__(self) -> int:
        """Play; return 1 if a promise was broken."""
        if self.seed is not None:
            return asyncio.run(self.play_one(self.seed))
        return asyncio.run(self.play_all())

    async def play_one(self, seed: int) -> int:
        """Play one seed in this process."""
        directory = self.keep / f"seed-{seed}"
        directory.mkdir(parents=True, exist_ok=True)
        run = SoakRun(seed, self.length, directory, not self.untimed)
        found = await run.play()
        for line in found:
            print(f"seed {seed}: {line}")
        print(f"seed {seed}: {run.seen.summary()}")
        return 1 if found else 0

    async def play_all(self) -> int:
        """Play the regressions and fresh seeds, a few at a time."""
        text = Path(__file__).with_name("regressions.toml").read_text()
        seeds = [case["seed"] for case in tomllib.loads(text).get("case", [])]
        first = SystemRandom().randrange(10**6) if self.first is None else self.first
        seeds += range(first, first + self.seeds)
        places = asyncio.Semaphore(self.jobs)

        async def play(seed: int) -> bool:
            async with places:
                return await self.play_apart(seed)

        held = await asyncio.gather(*(play(seed) for seed in seeds))
        broken = [seed for seed, good in zip(seeds, held, strict=True) if not good]
        print(
            f"{len(seeds)} seeds from {first}, {len(broken)} broke a promise {broken}"
        )
        return 1 if broken else 0

    async def play_apart(self, seed: int) -> bool:
        """Play a seed in a process of its own; return whether all promises held."""
        words = ["--seed", str(seed), "--length", str(self.length)]
        words += ["--keep", str(self.keep), *(["--untimed"] if self.untimed else [])]
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "soak", *words),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=environment(),
            cwd=ROOT,
        )
        try:
            async with asyncio.timeout(MOST_S):
                output, _ = await process.communicate()
        except TimeoutError:
            process.terminate()
            print(f"seed {seed}: FAULT: the run hangs")
            return False
        print(output.decode(errors="replace").rstrip(), flush=True)
        return process.returncode == 0


if __name__ == "__main__":
    sys.exit(cappa.invoke(Soak))
