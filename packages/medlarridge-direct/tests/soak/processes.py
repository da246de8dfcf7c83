"""Processes that the soak starts, and the lines they write."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parents[4]
SOURCES = (
    ROOT / "platform",
    ROOT / "packages/medlarridge/src",
    ROOT / "packages/medlarridge-direct/src",
    ROOT / "packages/medlarridge-direct/tests",
)
END_S = 5
MAX_LINE_BYTES = 4 * 1024 * 1024


def environment(**variables: str) -> dict[str, str]:
    """Return the environment of the programs: nothing of the caller's but the path."""
    return {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": os.pathsep.join(str(source) for source in SOURCES),
        **variables,
    }


class Process:
    """One process; it is only ever signalled by the id it was started with."""

    def __init__(
        self, name: str, words: list[str], take_line: Callable[[str, dict], None]
    ) -> None:
        self.name = name
        self.words = words
        self.take_line = take_line
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task | None = None
        self.starting = asyncio.Lock()
        self.expected_end = False
        self.paused = False
        self.lines = 0
        self.rest: list[str] = []

    async def start(self, **variables: str) -> None:
        """Start the process unless it runs."""
        async with self.starting:
            if not self.running:
                await self.spawn(variables)

    async def spawn(self, variables: dict[str, str]) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.words,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=environment(**variables),
            cwd=ROOT,
            limit=MAX_LINE_BYTES,
        )
        self.expected_end = False
        self.reading = asyncio.create_task(self.read_lines(self.process))

    async def read_lines(self, process: asyncio.subprocess.Process) -> None:
        """Pass on the lines that a process writes."""
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.lines += 1
            try:
                self.take_line(self.name, json.loads(line))
            except json.JSONDecodeError:
                self.rest.append(line.decode(errors="replace").rstrip())

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def minds_hang_up(self) -> bool:
        """Whether SIGHUP no longer ends the process, or it has ended."""
        if not self.running:
            return True
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return True
        masks = [
            int(line.split()[1], 16)
            for line in status.splitlines()
            if line.startswith(("SigIgn:", "SigCgt:"))
        ]
        return any(mask & 1 << signal.SIGHUP - 1 for mask in masks)

    @property
    def ended_by_itself(self) -> bool:
        """Whether the process ended without having been told to."""
        return not self.running and not self.expected_end

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if not self.running:
            return
        assert self.process is not None
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_end = True
        self.paused = number is signal.SIGSTOP
        self.process.send_signal(number)

    def order(self, order: dict) -> None:
        """Write a line to its standard input."""
        if self.running and self.process is not None and self.process.stdin is not None:
            self.process.stdin.write(json.dumps(order).encode() + b"\n")

    async def wait(self, most_s: float) -> bool:
        """Wait for the end; return whether it came in time."""
        if self.process is None:
            return True
        try:
            async with asyncio.timeout(most_s):
                await self.process.wait()
        except TimeoutError:
            return False
        return True

    async def end(self) -> None:
        """End the process for good."""
        if self.process is None:
            return
        if self.running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.wait(END_S)
        if self.reading is not None:
            await asyncio.wait((self.reading,), timeout=END_S)


def steady_s() -> float:
    """Return the steady time that all processes of the host share."""
    return time.monotonic()
