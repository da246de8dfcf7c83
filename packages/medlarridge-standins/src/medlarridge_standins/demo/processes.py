"""Child processes: they are started with a log file and ended by their id."""

import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from medlarridge._internal.clock import MS_PER_S

LOOPBACK = "127.0.0.1"
FIRST_PORT, LAST_PORT = 20_000, 32_000
"""Below the ports that systems choose for outgoing connections."""
POLL_MS = 50
KILL_AFTER_S = 20


class WaitTimeout(Exception):
    """A condition did not come true in time."""


class PortAllocator:
    """Gives pairs of adjacent ports that are free for TCP and UDP."""

    def __init__(self) -> None:
        self.given: set[int] = set()
        self.random = random.SystemRandom()

    def allocate_pair(self) -> int:
        """Return the first of two adjacent free ports."""
        while True:
            port = self.random.randrange(FIRST_PORT, LAST_PORT, 2)
            if port not in self.given and is_free(port) and is_free(port + 1):
                self.given.add(port)
                return port

    def allocate_address(self) -> str:
        """Return ``ip:port`` with a free port, the next of which is free too."""
        return f"{LOOPBACK}:{self.allocate_pair()}"


def is_free(port: int) -> bool:
    """Return whether a port can be bound for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


def child_environment() -> dict[str, str]:
    """Return the environment in which children import the same packages."""
    paths = [path for path in sys.path if path]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


def python_command(*arguments: str) -> list[str]:
    """Return the command line that runs a module of ours."""
    return [sys.executable, "-m", *arguments]


@dataclass(eq=False)
class ChildProcess:
    """One process that the demo started."""

    name: str
    arguments: tuple[str, ...]
    log: Path
    process: subprocess.Popen[bytes] = field(init=False)

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Start the process; again, if it has ended."""
        with self.log.open("ab") as log:
            # A session of its own: Ctrl-C reaches the demo only, which then ends
            # its children in order.
            self.process = subprocess.Popen(
                python_command(*self.arguments),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=child_environment(),
                start_new_session=True,
            )

    @property
    def status(self) -> int | None:
        """Return the exit status, nothing while the process runs."""
        return self.process.poll()

    def terminate(self) -> None:
        """Ask the process to end."""
        if self.status is None:
            self.process.send_signal(signal.SIGTERM)

    async def ended(self, limit_s: float) -> int:
        """Return the exit status once the process has ended."""
        await wait_until(
            lambda: self.status is not None, f"end of {self.name}", limit_s
        )
        return self.process.returncode

    def last_lines(self, count: int = 5) -> str:
        """Return the end of the log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-count:])


async def end_all(
    children: list[ChildProcess], limit_s: float = KILL_AFTER_S
) -> list[ChildProcess]:
    """End processes and return those that did not end by themselves in time."""
    for child in children:
        child.terminate()
    with anyio.move_on_after(limit_s, shield=True):
        while any(child.status is None for child in children):
            await anyio.sleep(POLL_MS / MS_PER_S)
    late = [child for child in children if child.status is None]
    for child in late:
        child.process.kill()
        child.process.wait()
    return late


Condition = Callable[[], bool] | Callable[[], Awaitable[bool]]


async def wait_until(condition: Condition, what: str, limit_s: float) -> None:
    """Wait until a condition holds, or raise an error that says what is missing."""
    with anyio.move_on_after(limit_s):
        while True:
            holds = condition()
            if not isinstance(holds, bool):
                holds = await holds
            if holds:
                return
            await anyio.sleep(POLL_MS / MS_PER_S)
    raise WaitTimeout(f"waited {limit_s:g} s in vain for: {what}")
