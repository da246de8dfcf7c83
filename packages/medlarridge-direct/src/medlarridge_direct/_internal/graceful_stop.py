"""What a router does from the stop signal to the end of its process."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from medlarridge._internal.clock import MS_PER_S

from .coordination.stop_schedule import StopSchedule
from .request_handler import RequestHandler
from .state.peer_table import PeerTable
from .transport.client_connection import ClientConnection

FIRST_REQUEST_MS = 300
"""Time in which the first request arrives on a new connection."""

DRAIN_INTERVAL_MS = 100
"""Interval at which a stopping router closes connections and looks for its peers."""

ANSWER_MS = 100
"""Time in which the requests in flight are answered at the end of the work."""

POLL_MS = 5
"""Interval at which the end of requests and connections is looked for."""

STALL_MS = 50
"""Length of a poll beyond which the event loop has stalled."""


class GracefulStop:
    """Ends the work of a router.

    ``listen`` opens the listener for clients again. ``stops_first`` tells that no peer
    was stopping when this router began to.
    """

    def __init__(
        self,
        schedule: StopSchedule,
        handler: RequestHandler,
        connections: set[ClientConnection],
        peers: PeerTable,
        listen: Callable[[], Awaitable[asyncio.Server]],
    ) -> None:
        self.schedule = schedule
        self.clock = schedule.clock
        self.handler = handler
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
        assert self.schedule.work_ends_ms is not None
        await self.sleep_until(self.schedule.removed_ms())
        # What the event loop has accepted is listed only in one of its next turns.
        may_accept = True
        while not self.schedule.has_ended() and (self.connections or may_accept):
            is_needed = self.needs_listener()
            if client_listener.is_serving() and not is_needed:
                # Closing resets the connections that wait to be accepted.
                await self.accept_waiting()
                is_needed = self.needs_listener()
                if not is_needed:
                    client_listener.close()
            elif is_needed and not client_listener.is_serving():
                # The address may be in use; it is tried again in the next turn.
                with contextlib.suppress(OSError):
                    client_listener = await self.listen()
            may_accept = client_listener.is_serving()
            self.close_idle()
            left_ms = max(self.schedule.work_ends_ms - self.clock.now_ms(), 0)
            await asyncio.sleep(min(left_ms, DRAIN_INTERVAL_MS) / MS_PER_S)
        return client_listener

    def needs_listener(self) -> bool:
        """Return whether the load balancer has no other router for its connections."""
        return (
            bool(self.connections)
            and not self.stops_first
            and not self.peers.any_serves()
        )

    async def accept_waiting(self) -> None:
        """Let the event loop accept what waits, also what came while it stalled."""
        while not self.schedule.has_ended() and await self.stalls():
            continue

    async def read_waiting(self) -> None:
        """Let the event loop read what waits, also what came while it stalled."""
        assert self.schedule.exits_ms is not None
        last_ms = self.schedule.exits_ms - ANSWER_MS
        while await self.stalls() and self.clock.now_ms() < last_ms:
            continue

    async def stalls(self) -> bool:
        """Let the event loop go on for one interval; return whether it stalled."""
        began_ms = self.clock.now_ms()
        await asyncio.sleep(POLL_MS / MS_PER_S)
        return self.clock.now_ms() - began_ms > STALL_MS

    async def end_work(self) -> None:
        """Answer what has no response and cut what has begun; take nothing more."""
        self.schedule.end()
        # After a stall, timers may run before the answers that have come are read.
        await self.read_waiting()
        self.handler.end_all()
        end_ms = self.clock.now_ms() + ANSWER_MS
        while self.handler.in_flight and self.clock.now_ms() < end_ms:
            await asyncio.sleep(POLL_MS / MS_PER_S)

    async def release(self, release: Callable[[], Awaitable[None]]) -> None:
        """Make the last calls to the store, in the time that is left."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.schedule.release_left_ms() / MS_PER_S):
                await release()

    async def close_connections(self) -> None:
        """Read no further request, and wait until the last answers are sent.

        A request that came while leases were released is refused first.
        """
        assert self.schedule.exits_ms is not None
        while self.connections and self.clock.now_ms() < self.schedule.exits_ms:
            for connection in list(self.connections):
                if not connection.is_handling:
                    connection.close()
            await asyncio.sleep(POLL_MS / MS_PER_S)

    def close_idle(self) -> None:
        """Close connections that have been idle for longer than new ones are."""
        oldest_ms = self.clock.now_ms() - FIRST_REQUEST_MS
        for connection in list(self.connections):
            if connection.idle and connection.idle_since_ms <= oldest_ms:
                connection.close()

    async def sleep_until(self, time_ms: int) -> None:
        """Sleep until a time of the router's clock."""
        while (left_ms := time_ms - self.clock.now_ms()) > 0:
            await asyncio.sleep(min(left_ms, DRAIN_INTERVAL_MS) / MS_PER_S)
