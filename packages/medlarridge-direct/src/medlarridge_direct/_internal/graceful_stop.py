"""What a router does from the stop signal to the end of its process."""

import asyncio
import contextlib
import select
from collections.abc import Awaitable, Callable

from medlarridge._internal.clock import MS_PER_S

from .coordination.stop_schedule import StopSchedule
from .request_handler import RequestHandler
from .state.peer_table import PeerTable
from .transport.client_connection import ClientConnection

FIRST_REQUEST_MS = 300
"""Time in which the next request arrives on a connection that is new, or whose response
could not announce its end."""

LAST_REQUEST_MS = 100
"""The same after the work has ended, when the exit leaves no more time."""

DRAIN_INTERVAL_MS = 100
"""Interval at which a stopping router closes connections and looks for its peers."""

ANSWER_MS = 100
"""Time in which the requests in flight are answered at the end of the work."""

POLL_MS = 5
"""Interval at which the end of requests and connections is looked for."""

STALL_MS = 50
"""Time by which a poll is longer than planned if the event loop has stalled."""

READ_TURNS = 4
"""Turns of the event loop in which it reads all sockets at least once, those of a
connection included that it accepts in the first of them."""


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
        self.stalled_ms = 0

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
                await self.accept_waiting(client_listener, self.schedule.work_ends_ms)
                is_needed = self.needs_listener()
                if not is_needed:
                    client_listener.close()
            elif is_needed and not client_listener.is_serving():
                # The address may be in use; it is tried again in the next turn.
                with contextlib.suppress(OSError):
                    client_listener = await self.listen()
            may_accept = client_listener.is_serving()
            await self.close_idle()
            left_ms = max(self.schedule.work_ends_ms - self.clock.now_ms(), 0)
            await self.pause(min(left_ms, DRAIN_INTERVAL_MS))
        return client_listener

    def needs_listener(self) -> bool:
        """Return whether the load balancer has no other router for its connections."""
        return (
            bool(self.connections)
            and not self.stops_first
            and not self.peers.any_serves()
        )

    async def accept_waiting(self, listener: asyncio.Server, end_ms: int) -> None:
        """Let the event loop accept all connections that wait, also after a stall.

        A listener that closes resets them, and one turn may accept only one of them.
        """
        while self.clock.now_ms() < end_ms and (
            await self.pause(POLL_MS) or has_waiting(listener)
        ):
            continue

    async def read_waiting(self) -> None:
        """Let the event loop read what waits, also what came while it stalled."""
        assert self.schedule.exits_ms is not None
        last_ms = self.schedule.exits_ms - ANSWER_MS
        while await self.pause(POLL_MS) and self.clock.now_ms() < last_ms:
            continue

    async def read_once(self) -> None:
        """Let the event loop read all sockets before the caller goes on.

        It runs timers first, so bytes may wait even though a timer has just run.
        """
        began_ms = self.clock.now_ms()
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        self.note_stall(began_ms)

    async def pause(self, time_ms: int) -> bool:
        """Let the event loop go on for a time; return whether it stalled."""
        began_ms = self.clock.now_ms()
        await asyncio.sleep(time_ms / MS_PER_S)
        return self.note_stall(began_ms + time_ms)

    def note_stall(self, due_ms: int) -> bool:
        """Return whether the event loop has stalled, and note when it went on."""
        now_ms = self.clock.now_ms()
        if now_ms - due_ms <= STALL_MS:
            return False
        self.stalled_ms = now_ms
        return True

    async def end_work(self) -> None:
        """Answer what has no response and cut what has begun; take nothing more."""
        self.schedule.end()
        # After a stall, timers may run before the answers that have come are read.
        await self.read_waiting()
        self.handler.end_all()
        end_ms = self.clock.now_ms() + ANSWER_MS
        while self.handler.in_flight and self.clock.now_ms() < end_ms:
            await self.pause(POLL_MS)

    async def close_listener(self, listener: asyncio.Server) -> None:
        """Accept what waits, to refuse its requests, and close the listener."""
        assert self.schedule.exits_ms is not None
        await self.accept_waiting(listener, self.schedule.exits_ms - ANSWER_MS)
        listener.close()

    async def release(self, release: Callable[[], Awaitable[None]]) -> None:
        """Make the last calls to the store, in the time that is left."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.schedule.release_left_ms() / MS_PER_S):
                await release()

    async def close_connections(self) -> None:
        """Refuse the last requests, and wait until the last answers are sent.

        Requests may have come while leases were released, or follow a response that
        could not announce the end of its connection.
        """
        assert self.schedule.exits_ms is not None
        while self.connections and self.clock.now_ms() < self.schedule.exits_ms:
            await self.read_once()
            for connection in list(self.connections):
                if not connection.is_handling and (
                    self.quiet_ms(connection) >= LAST_REQUEST_MS
                ):
                    connection.close()
            await self.pause(POLL_MS)

    async def close_idle(self) -> None:
        """Close connections on which no request has come for a while."""
        await self.read_once()
        for connection in list(self.connections):
            if connection.idle and self.quiet_ms(connection) >= FIRST_REQUEST_MS:
                connection.close()

    def quiet_ms(self, connection: ClientConnection) -> int:
        """Return for how long a connection could have been read and nothing came."""
        return self.clock.now_ms() - max(
            connection.idle_since_ms, connection.last_read_ms, self.stalled_ms
        )

    async def sleep_until(self, time_ms: int) -> None:
        """Sleep until a time of the router's clock."""
        while (left_ms := time_ms - self.clock.now_ms()) > 0:
            await self.pause(min(left_ms, DRAIN_INTERVAL_MS))


def has_waiting(listener: asyncio.Server) -> bool:
    """Return whether connections wait to be accepted."""
    poller = select.poll()
    for each in listener.sockets:
        poller.register(each.fileno(), select.POLLIN)
    return bool(poller.poll(0))
