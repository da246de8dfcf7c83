"""Child processes of the demo, each with its own log file."""

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
"""Below the ephemeral ports of common systems."""
POLL_MS = 50
KILL_AFTER_S = 20


class WaitTimeout(Exception):
    """A condition was not met in time."""


class PortAllocator:
    """Allocates pairs of adjacent ports that are free for TCP and UDP."""

    def __init__(self) -> None:
        self.allocated: set[int] = set()
        self.random = random.SystemRandom()

    def allocate_pair(self) -> int:
        """Allocate two adjacent free ports and return the first."""
        while True:
            port = self.random.randrange(FIRST_PORT, LAST_PORT, 2)
            if port not in self.allocated and is_free(port) and is_free(port + 1):
                self.allocated.add(port)
                return port

    def allocate_address(self) -> str:
        """Allocate a pair of ports and return ``ip:port`` of the first."""
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
    """Return an environment in which child processes import the same packages."""
    paths = [path for path in sys.path if path]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


def python_command(*arguments: str) -> list[str]:
    """Return the command line ``python -m`` with the given arguments."""
    return [sys.executable, "-m", *arguments]


@dataclass(eq=False)
class ChildProcess:
    """A process started by the demo."""

    name: str
    arguments: tuple[str, ...]
    log: Path
    process: subprocess.Popen[bytes] = field(init=False)

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Start the process, or restart it after it has exited."""
        with self.log.open("ab") as log:
            # In a session of its own, the child does not receive Ctrl-C; the demo
            # handles it and stops its children in order.
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
        """Return the exit status, or None while the process runs."""
        return self.process.poll()

    def terminate(self) -> None:
        """Send SIGTERM unless the process has exited."""
        if self.status is None:
            self.process.send_signal(signal.SIGTERM)

    async def wait_for_exit(self, timeout_s: float) -> int:
        """Wait for the process to exit and return its status."""
        await wait_until(
            lambda: self.status is not None, f"exit of {self.name}", timeout_s
        )
        return self.process.returncode

    def last_lines(self, count: int = 5) -> str:
        """Return the last lines of the log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-count:])


async def end_all(
    children: list[ChildProcess], timeout_s: float = KILL_AFTER_S
) -> list[ChildProcess]:
    """Terminate processes and return those that had to be killed after the timeout."""
    for child in children:
        child.terminate()
    with anyio.move_on_after(timeout_s, shield=True):
        while any(child.status is None for child in children):
            await anyio.sleep(POLL_MS / MS_PER_S)
    killed = [child for child in children if child.status is None]
    for child in killed:
        child.process.kill()
        child.process.wait()
    return killed


Condition = Callable[[], bool] | Callable[[], Awaitable[bool]]


async def wait_until(condition: Condition, description: str, timeout_s: float) -> None:
    """Wait until a condition holds, or raise WaitTimeout with the description."""
    with anyio.move_on_after(timeout_s):
        while True:
            holds = condition()
            if not isinstance(holds, bool):
                holds = await holds
            if holds:
                return
            await anyio.sleep(POLL_MS / MS_PER_S)
    raise WaitTimeout(f"timed out after {timeout_s:g} s waiting for: {description}")
