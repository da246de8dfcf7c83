"""Child processes of the soak and the JSON lines they write."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parents[4]
SOURCE_PATHS = (
    ROOT / "platform",
    ROOT / "packages/medlarridge/src",
    ROOT / "packages/medlarridge-direct/src",
    ROOT / "packages/medlarridge-direct/tests",
)
EXIT_TIMEOUT_S = 5
MAX_LINE_BYTES = 4 * 1024 * 1024


def child_environment(**variables: str) -> dict[str, str]:
    """Return the environment of a child process; only PATH is inherited."""
    return {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": os.pathsep.join(str(source) for source in SOURCE_PATHS),
        **variables,
    }


class Process:
    """One child process, which can be started again after it has ended.

    Signals are sent only to the process id that the start returned. ``program`` is the
    path of the interpreter and ``directory`` the working directory.
    """

    program = sys.executable
    directory = ROOT

    def __init__(
        self, name: str, arguments: list[str], on_line: Callable[[str, dict], None]
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.on_line = on_line
        self.process: asyncio.subprocess.Process | None = None
        self.reader_task: asyncio.Task | None = None
        self.start_lock = asyncio.Lock()
        self.exit_expected = False
        self.paused = False
        self.line_count = 0
        self.start_count = 0
        self.unparsed_lines: list[str] = []

    async def start(self, **variables: str) -> None:
        """Start the process unless it is running."""
        async with self.start_lock:
            if not self.running:
                await self.spawn(variables)

    async def spawn(self, variables: dict[str, str]) -> None:
        """Start the process and the task that reads its output."""
        self.start_count += 1
        self.process = await asyncio.create_subprocess_exec(
            self.program,
            *self.arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=self.environment(variables),
            cwd=self.directory,
            limit=MAX_LINE_BYTES,
        )
        self.exit_expected = False
        self.reader_task = asyncio.create_task(self.read_lines(self.process))

    def environment(self, variables: dict[str, str]) -> dict[str, str]:
        """Return the environment of the process."""
        return child_environment(**variables)

    async def read_lines(self, process: asyncio.subprocess.Process) -> None:
        """Pass JSON lines of the process to ``on_line``; keep other lines."""
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.line_count += 1
            try:
                self.on_line(self.name, json.loads(line))
            except ValueError:
                self.unparsed_lines.append(line.decode(errors="replace").rstrip())

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def handles_sighup(self) -> bool:
        """Whether the process catches or ignores SIGHUP, or has ended."""
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
    def exited_unexpectedly(self) -> bool:
        """Whether the process ended without SIGTERM or SIGKILL from the soak."""
        return not self.running and not self.exit_expected

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if not self.running:
            return
        assert self.process is not None
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.exit_expected = True
        self.paused = number is signal.SIGSTOP
        self.process.send_signal(number)

    def send_command(self, command: dict) -> None:
        """Write a JSON line to the standard input of the process."""
        if self.running and self.process is not None and self.process.stdin is not None:
            self.process.stdin.write(json.dumps(command).encode() + b"\n")

    async def wait(self, timeout_s: float) -> bool:
        """Wait until the process has ended; return False on a timeout."""
        if self.process is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Kill the process and wait for the rest of its output."""
        if self.process is None:
            return
        if self.running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.wait(EXIT_TIMEOUT_S)
        if self.reader_task is not None:
            await asyncio.wait((self.reader_task,), timeout=EXIT_TIMEOUT_S)


def monotonic_s() -> float:
    """Return the monotonic time, which is common to all processes of a host."""
    return time.monotonic()
