"""Detection of crashes of the backend server."""

import anyio
import httpx

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.events import register
from medlarridge._internal.log import log_event
from medlarridge._internal.transport.notifier import Notifier

PROBE_INTERVAL_MS = 250
PROBE_TIMEOUT_MS = 2_000
BREAK_WINDOW_MS = 200
"""Time within which a crash of the server breaks all of its calls."""

SERVER_DOWN = register(2000, "ERROR", "backend server cannot be reached")
SERVER_UP = register(2001, "WARNING", "backend server can be reached again")
SERVER_CRASHED = register(2002, "ERROR", "backend server crashed with calls in flight")


class ServerMonitor:
    """Detects crashes of the backend server and tracks whether it is reachable.

    A crash breaks all calls of the server. A broken call does not count as a crash if
    the server is reachable and other calls continue.
    """

    def __init__(self, client: httpx.AsyncClient, server: str) -> None:
        self.client = client
        self.server = server.rstrip("/")
        self.down = False
        self.crash_count = 0
        self.active_calls: set[object] = set()
        self.broken_calls: set[object] = set()
        self.checking = False
        self.check_done = Notifier()
        self.last_result = False

    def call_started(self, call: object) -> None:
        """Record a call that the server may have received."""
        self.active_calls.add(call)

    def call_ended(self, call: object) -> None:
        """Record the end of a call that did not break."""
        self.active_calls.discard(call)

    async def crashed_during(self, call: object) -> bool:
        """Return whether a crash of the server broke the call.

        Calls that break within the same window share one check and its result.
        """
        self.broken_calls.add(call)
        if self.checking:
            await self.check_done.wait()
            return self.last_result
        self.checking = True
        # Later calls may run on a restarted server and say nothing about this crash.
        calls_before = set(self.active_calls)
        try:
            await anyio.sleep(BREAK_WINDOW_MS / MS_PER_S)
            reachable = await self.probe()
            unaffected = (calls_before & self.active_calls) - self.broken_calls
            self.last_result = not reachable or not unaffected
            if self.last_result:
                self.crash_count += 1
                self.down = not reachable
                log_event(
                    SERVER_CRASHED, server=self.server, calls=len(self.broken_calls)
                )
        finally:
            self.active_calls -= self.broken_calls
            self.broken_calls.clear()
            self.checking = False
            self.check_done.notify_all()
        return self.last_result

    async def probe(self) -> bool:
        """Return whether the server can be reached."""
        try:
            await self.client.get(
                f"{self.server}/health", timeout=PROBE_TIMEOUT_MS / MS_PER_S
            )
        except httpx.TransportError:
            return False
        return True

    def record_unreachable(self) -> None:
        """Record that the server could not be reached."""
        if not self.down:
            self.down = True
            log_event(SERVER_DOWN, server=self.server)

    async def run(self) -> None:
        """Probe the server periodically while it is down."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_MS / MS_PER_S)
            if self.down and await self.probe():
                self.down = False
                log_event(SERVER_UP, server=self.server)
