"""Servers that went down, and the evidence that follows from it."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from medlarridge._internal.clock import Clock

from .protocol.servers import BackendServer
from .transport.server_connections import ConnectionPools

if TYPE_CHECKING:
    from .components import RouterComponents

PROBE_INTERVAL_MS = 500
"""Shortest time between two probes of a server, which loses its connections together."""


class CrashProbes:
    """Opens a connection to a server that closed one; a refusal shows that it ended."""

    def __init__(
        self,
        clock: Clock,
        connections: ConnectionPools,
        on_ended: Callable[[BackendServer], None],
    ) -> None:
        self.clock = clock
        self.connections = connections
        self.on_ended = on_ended
        self.probed_ms: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, server: BackendServer, connection_limit: int) -> None:
        """Probe a server unless that was done a moment ago."""
        now_ms = self.clock.now_ms()
        oldest_ms = now_ms - PROBE_INTERVAL_MS
        self.probed_ms = {
            start: probed_ms
            for start, probed_ms in self.probed_ms.items()
            if probed_ms > oldest_ms
        }
        if server.start in self.probed_ms:
            return
        self.probed_ms[server.start] = now_ms
        task = asyncio.ensure_future(self.probe(server, connection_limit))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def probe(self, server: BackendServer, connection_limit: int) -> None:
        """Report the server as ended if it refuses a connection.

        One that resets the connection may only have too many.
        """
        if await self.connections.is_refused(server, connection_limit, or_reset=False):
            self.on_ended(server)


def record_server_down(
    components: "RouterComponents", instance: str, ended: bool = True
) -> None:
    """Record that a server accepts no connections, or that its process has ``ended``.

    Its idle connections are closed, since they may be dead as well.
    """
    components.connections.close_idle(instance)
    evidence = components.crash_detector.record_down(instance, ended)
    if evidence:
        components.on_crash_evidence(evidence)
