"""What a router does from the stop signal to the end of its process."""

import asyncio
from collections.abc import Awaitable, Callable

from medlarridge._internal.clock import MS_PER_S

from .coordination.stop_schedule import BALANCER_REMOVAL_MS, StopSchedule
from .state.peer_table import PeerTable
from .transport.client_connection import ClientConnection

FIRST_REQUEST_MS = 300
"""Time in which the first request arrives on a new connection."""

DRAIN_INTERVAL_MS = 100
"""Interval at which a stopping router closes connections and looks for its peers."""


class GracefulStop:
    """Ends the work of a router.

    ``listen`` opens the listener for clients again. ``stops_first`` tells that no peer
    was stopping when this router began to.
    """

    def __init__(
        self,
        schedule: StopSchedule,
        connections: set[ClientConnection],
        peers: PeerTable,
        listen: Callable[[], Awaitable[asyncio.Server]],
    ) -> None:
        self.schedule = schedule
        self.clock = schedule.clock
        self.connections = connections
        self.peers = peers
        self.listen = listen
        self.stops_first = False

    def begin(self, grace_ms: int) -> None:
        """Begin the stop, unless it has begun."""
        if not self.schedule.has_begun:
            self.schedule.begin(grace_ms)
            self.stops_first = not any(
                peer.stopping for peer in self.peers.live_peers()
            )

    async def drain(self, client_listener: asyncio.Server) -> asyncio.Server:
        """Accept connections until the load balancer reacts, then finish requests.

        While no other router serves, connections are accepted all the same, since the
        load balancer has no other to send them to. The router that stops first does
        not, so that it is back soon. Return the last listener.
        """
        assert self.schedule.began_ms is not None
        assert self.schedule.work_ends_ms is not None
        await self.sleep_until(self.schedule.began_ms + BALANCER_REMOVAL_MS)
        while self.connections and self.clock.now_ms() < self.schedule.work_ends_ms:
            is_needed = not self.stops_first and not self.peers.any_serves()
            if client_listener.is_serving() and not is_needed:
                client_listener.close()
            elif is_needed and not client_listener.is_serving():
                client_listener = await self.listen()
            self.close_idle()
            await asyncio.sleep(DRAIN_INTERVAL_MS / MS_PER_S)
        return client_listener

    def close_idle(self) -> None:
        """Close connections that have been idle for longer than new ones are."""
        oldest_ms = self.clock.now_ms() - FIRST_REQUEST_MS
        for connection in list(self.connections):
            if connection.idle and connection.idle_since_ms <= oldest_ms:
                connection.close()

    async def sleep_until(self, time_ms: int) -> None:
        """Sleep until a time of the router's clock."""
        await asyncio.sleep(max(time_ms - self.clock.now_ms(), 0) / MS_PER_S)
