"""Watches whether the backend server lives."""

import anyio
import httpx

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.events import register
from medlarridge._internal.log import log_event
from medlarridge._internal.transport.notifier import Notifier

POLL_MS = 250
PROBE_TIMEOUT_MS = 2_000
BREAK_WINDOW_MS = 200
"""Time in which the other calls of a server that died break as well."""

SERVER_DOWN = register(2000, "ERROR", "backend server cannot be reached")
SERVER_UP = register(2001, "WARNING", "backend server can be reached again")
SERVER_DIED = register(2002, "ERROR", "backend server died with calls in flight")


class ServerMonitor:
    """Decides whether the backend server died, and refuses work while it is down.

    A server that died has broken all of its calls. A call that breaks alone, while
    others go on, is no death.
    """

    def __init__(self, client: httpx.AsyncClient, server: str) -> None:
        self.client = client
        self.server = server.rstrip("/")
        self.down = False
        self.deaths = 0
        self.calls: set[object] = set()
        self.broken: set[object] = set()
        self.judging = False
        self.judged = Notifier()
        self.last_judgement = False

    def call_started(self, call: object) -> None:
        """Note a call that the server may have seen."""
        self.calls.add(call)

    def call_ended(self, call: object) -> None:
        """Note a call that did not break."""
        self.calls.discard(call)

    async def died_during(self, call: object) -> bool:
        """Return whether the broken call ended because the server died.

        All calls that break together get the same answer.
        """
        self.broken.add(call)
        if self.judging:
            await self.judged.wait()
            return self.last_judgement
        self.judging = True
        # A call that starts from now on may run on a server that has restarted.
        earlier = set(self.calls)
        try:
            await anyio.sleep(BREAK_WINDOW_MS / MS_PER_S)
            reachable = await self.probe()
            going_on = (earlier & self.calls) - self.broken
            self.last_judgement = not reachable or not going_on
            if self.last_judgement:
                self.deaths += 1
                self.down = not reachable
                log_event(SERVER_DIED, server=self.server, calls=len(self.broken))
        finally:
            self.calls -= self.broken
            self.broken.clear()
            self.judging = False
            self.judged.notify_all()
        return self.last_judgement

    async def probe(self) -> bool:
        """Return whether the server accepts connections."""
        try:
            await self.client.get(
                f"{self.server}/health", timeout=PROBE_TIMEOUT_MS / MS_PER_S
            )
        except httpx.TransportError:
            return False
        return True

    def unreachable(self) -> None:
        """Note that a connection to the server was refused."""
        if not self.down:
            self.down = True
            log_event(SERVER_DOWN, server=self.server)

    async def run(self) -> None:
        """Probe the server while it is down."""
        while True:
            await anyio.sleep(POLL_MS / MS_PER_S)
            if self.down and await self.probe():
                self.down = False
                log_event(SERVER_UP, server=self.server)
