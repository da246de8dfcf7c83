"""Permits of this router to send requests to servers that name a limit or are cold.

The keeper of a pool answers from its ledger; every other router asks the keeper. A
permit that does not come in time counts as refused.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from math import ceil
from random import Random

from msgspec import Struct

from medlarridge._internal.clock import MS_PER_S, Clock

from .coordination.cold_servers import ColdServers
from .coordination.permit_demand import PermitDemand
from .coordination.permit_lease import PermitLease
from .coordination.permit_ledger import PERMIT_VALIDITY_MS, WINDOW_MS, ServerLimit
from .protocol.permit_messages import (
    PermitAnswer,
    PermitAsk,
    PermitEnd,
    PermitMessage,
    decode_permit_message,
    encode_permit_message,
)
from .protocol.servers import BackendServer
from .state.server_notices import ServerNotices
from .transport.http_connection import HttpConnection

Address = tuple[str, int]
Transmit = Callable[[bytes, Address], None]

ANSWER_TIMEOUT_MS = 80
"""Time in which a keeper in another data centre answers."""

MAX_ASKED_SERVERS = 8
"""Servers that are named in one ask."""

SPARE_SHARE = 0.25
"""Share of a server's permits that requests leave which can go to another server."""

RANK_SPARE_SHARE = 0.2
"""Share of all permits, for each rank, that must be free before a request gets one
which is not admitted beside the more urgent ones."""

MAX_HINT_MS = 250
"""Time for which a keeper's answer that no permit is free is relied on; another router
may give one back sooner."""

NO_KEEPER_RETRY_MS = 1_000
"""Time after which a client may return when no router keeps the permits of its pool."""

MAX_RETRY_AFTER_MS = 5_000

MIN_COLD_RETRY_MS = 100
"""Shortest time after which a client may return once a cold server is warm."""

ARRIVAL_POLL_MS = 2
MAX_ARRIVAL_POLL_MS = 32
"""First and longest interval at which it is checked whether a request has arrived. A
receiver acknowledges within 40 ms."""

MAX_ASKED_RATE = 1e6
"""Rates of cold servers beyond this, in an ask, are ignored."""


class Permit(Struct):
    """A permit for one request; ``tell`` tells the keeper once how it ended.

    A request ``ends_on_arrival`` if its permit is to be ended once the server's VM has
    received it, since the response of a cold server may take long.
    """

    server: BackendServer
    expires_ms: int
    tell: Callable[[bool], None] | None
    ends_on_arrival: bool = False

    @property
    def has_ended(self) -> bool:
        """Return whether the keeper has been told."""
        return self.tell is None

    def end(self, sent: bool) -> None:
        """Record that the request has arrived, or that it was not sent."""
        if self.tell is not None:
            self.tell(sent)
            self.tell = None


def end_on_arrival(permit: Permit, connection: HttpConnection, polls: int = 0) -> None:
    """End a permit once the server's VM has acknowledged all bytes of its request."""
    if permit.has_ended or connection.closed:
        return
    if connection.has_arrived():
        permit.end(sent=True)
        return
    interval_ms = min(ARRIVAL_POLL_MS << polls, MAX_ARRIVAL_POLL_MS)
    asyncio.get_running_loop().call_later(
        interval_ms / MS_PER_S, end_on_arrival, permit, connection, polls + 1
    )


class SendPermits:
    """Permits of all pools.

    ``leases`` are this router's, by pool. ``find_keeper`` returns the address of the
    router that keeps a pool's permits, None if none is known. ``free_at_ms`` has when
    the keeper expects a permit for a server, by start.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        notices: ServerNotices,
        find_keeper: Callable[[str], Address | None],
        transmit: Transmit,
        cold: ColdServers | None = None,
    ) -> None:
        self.clock = clock
        self.random = random
        self.notices = notices
        self.find_keeper = find_keeper
        self.transmit = transmit
        self.cold = cold or ColdServers(clock)
        self.leases: dict[str, PermitLease] = {}
        self.answers: dict[int, asyncio.Future[PermitAnswer]] = {}
        self.free_at_ms: dict[str, int] = {}
        self.retry_after_ms: dict[str, int] = {}
        self.refused_ms: dict[str, deque[int]] = {}
        self.demand: dict[str, PermitDemand] = {}
        self.given = 0
        self.refused = 0
        self.unanswered = 0

    def is_needed(self, server: BackendServer) -> bool:
        """Return whether requests to a server need a permit."""
        return (
            self.notices.limit_per_s(server.start) is not None
            or self.cold.limit_per_s(server.start) is not None
        )

    async def acquire(
        self,
        pool: str,
        servers: Sequence[BackendServer],
        rank: int = 0,
        can_go_elsewhere: bool = False,
    ) -> Permit | None:
        """Return a permit for one of some servers, or None.

        ``rank`` is the urgency of the request, 0 first. One that ``can_go_elsewhere``
        leaves some permits for others.
        """
        asked_ms = self.clock.now_ms()
        wanted = [
            server
            for server in servers
            if self.free_at_ms.get(server.start, 0) <= asked_ms
        ][:MAX_ASKED_SERVERS]
        if not wanted:
            return None
        ask = PermitAsk(
            self.random.getrandbits(63),
            pool,
            [server.start for server in wanted],
            rank,
            can_go_elsewhere,
            self.asked_cold_rates(wanted),
        )
        lease = self.leases.get(pool)
        if lease is not None and lease.held:
            answer = self.answer(ask, lease)
            tell = self.end_own(lease, answer.permit)
        else:
            keeper = self.find_keeper(pool)
            if keeper is None:
                self.retry_after_ms[pool] = self.no_keeper_retry_ms(pool, wanted)
                return None
            received = await self.ask(ask, keeper)
            if received is None:
                return None
            answer = received
            tell = self.end_at(keeper, pool, answer.permit)
        return self.take(pool, wanted, answer, asked_ms, tell)

    def take(
        self,
        pool: str,
        servers: Sequence[BackendServer],
        answer: PermitAnswer,
        asked_ms: int,
        tell: Callable[[bool], None],
    ) -> Permit | None:
        """Return the permit of an answer, or record when one may be free."""
        if answer.permit and answer.choice < len(servers):
            self.given += 1
            server = servers[answer.choice]
            is_cold = self.cold.limit_per_s(server.start) is not None
            return Permit(server, asked_ms + PERMIT_VALIDITY_MS, tell, is_cold)
        self.refused += 1
        self.retry_after_ms[pool] = self.limit_to_cold_time(
            answer.retry_after_ms, [server.start for server in servers]
        )
        now_ms = self.clock.now_ms()
        for server, free_in_ms in zip(servers, answer.free_in_ms, strict=False):
            if free_in_ms > 0:
                self.free_at_ms[server.start] = now_ms + min(free_in_ms, MAX_HINT_MS)
        return None

    async def ask(self, ask: PermitAsk, keeper: Address) -> PermitAnswer | None:
        """Ask the keeper; return its answer, or None without one in time."""
        future = asyncio.get_running_loop().create_future()
        self.answers[ask.number] = future
        self.transmit(encode_permit_message(ask), keeper)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / MS_PER_S):
                return await future
        except TimeoutError:
            self.unanswered += 1
            hint_ms = self.clock.now_ms() + MAX_HINT_MS
            self.free_at_ms.update(dict.fromkeys(ask.starts, hint_ms))
            self.retry_after_ms[ask.pool] = self.limit_to_cold_time(
                NO_KEEPER_RETRY_MS, ask.starts
            )
            return None
        finally:
            del self.answers[ask.number]

    def asked_cold_rates(self, servers: Sequence[BackendServer]) -> list[float]:
        """Return the rates of cold servers as an ask has them, none if none is cold."""
        rates = [self.cold.limit_per_s(server.start) or 0.0 for server in servers]
        return rates if any(rates) else []

    def no_keeper_retry_ms(self, pool: str, servers: Sequence[BackendServer]) -> int:
        """Return when a client may come back to servers whose permits nobody gives out.

        That is when this router can have the lease, if it knows, or when a server that
        is only cold is warm, since it needs no permit then.
        """
        starts = [server.start for server in servers]
        lease = self.leases.get(pool)
        if lease is None or not self.asked_cold_rates(servers):
            return self.limit_to_cold_time(NO_KEEPER_RETRY_MS, starts)
        wait_ms = lease.free_from_ms - self.clock.now_ms()
        wait_ms = min(max(wait_ms, NO_KEEPER_RETRY_MS), MAX_RETRY_AFTER_MS)
        return self.limit_to_cold_time(wait_ms, starts)

    def limit_to_cold_time(self, retry_after_ms: int, starts: Sequence[str]) -> int:
        """Return a time to return, or when the first server is warm if that is earlier."""
        lefts_ms = [
            self.cold.left_ms(start)
            for start in starts
            if self.cold.limit_per_s(start) is not None
            and self.notices.limit_per_s(start) is None
        ]
        if not lefts_ms:
            return retry_after_ms
        return max(min(retry_after_ms, *lefts_ms), MIN_COLD_RETRY_MS)

    def end_own(self, lease: PermitLease, permit: int) -> Callable[[bool], None]:
        """Return how the end of a permit of this router's own ledger is recorded."""
        return lambda sent: lease.ledger.end(permit, sent)

    def end_at(self, keeper: Address, pool: str, permit: int) -> Callable[[bool], None]:
        """Return how the keeper is told of the end of a permit."""
        return lambda sent: self.transmit(
            encode_permit_message(PermitEnd(pool, permit, sent)), keeper
        )

    # The keeper's part

    def handle_datagram(self, data: bytes, address: Address) -> None:
        """Handle a message of another router; raise ``CodecError`` if malformed."""
        self.handle(decode_permit_message(data), address)

    def handle(self, message: PermitMessage, address: Address) -> None:
        """Answer an ask, or record an answer or the end of a permit."""
        if isinstance(message, PermitAnswer):
            future = self.answers.get(message.number)
            if future is not None and not future.done():
                future.set_result(message)
            return
        lease = self.leases.get(message.pool)
        if lease is None:
            return
        if isinstance(message, PermitEnd):
            lease.ledger.end(message.permit, message.sent)
        elif lease.held:
            self.transmit(encode_permit_message(self.answer(message, lease)), address)

    def answer(self, ask: PermitAsk, lease: PermitLease) -> PermitAnswer:
        """Give a permit for the first server that has one to spare."""
        ledger = lease.ledger
        limits = self.asked_limits(ask)
        free = {
            start: ledger.free(start, limit.per_s, limit.cold_per_s)
            for start, limit in limits.items()
        }
        if ask.can_go_elsewhere or self.admits(ask, limits, sum(free.values())):
            share = SPARE_SHARE if ask.can_go_elsewhere else 0.0
            for choice, start in enumerate(ask.starts):
                if start in free and free[start] > ceil(
                    share * (limits[start].strictest()[1] - 1)
                ):
                    return PermitAnswer(ask.number, ledger.give(start), choice, [], 0)
        # Of a server without a limit here, the asker's knowledge is newer.
        free_in_ms = [
            ledger.free_in_ms(start, limits[start].per_s, limits[start].cold_per_s)
            if start in limits
            else 0
            for start in ask.starts
        ]
        retry_after_ms = self.count_refused(ask, limits, max(free_in_ms))
        return PermitAnswer(ask.number, 0, 0, free_in_ms, retry_after_ms)

    def asked_limits(self, ask: PermitAsk) -> dict[str, ServerLimit]:
        """Return the limits of the servers of an ask that have one.

        What the asker knows of a cold server counts where this router does not know that
        it is cold.
        """
        asked = dict(zip(ask.starts, ask.cold_per_s, strict=False))
        limits = {}
        for start in ask.starts:
            limit_per_s = self.notices.limit_per_s(start)
            cold_per_s = self.cold.limit_per_s(start)
            if cold_per_s is None and 0 < asked.get(start, 0.0) <= MAX_ASKED_RATE:
                cold_per_s = asked[start]
            if limit_per_s is not None or cold_per_s is not None:
                limits[start] = ServerLimit(limit_per_s, cold_per_s)
        return limits

    def admits(self, ask: PermitAsk, limits: dict[str, ServerLimit], free: int) -> bool:
        """Return whether a request may have a permit beside the more urgent ones."""
        demand = self.demand.setdefault(ask.pool, PermitDemand(self.clock))
        demand.count(ask.rank)
        in_window = sum(limit.strictest()[1] for limit in limits.values())
        permits = sum(limit.permits_in_window() for limit in limits.values())
        return free > (1 + ask.rank) * RANK_SPARE_SHARE * in_window or (
            self.random.random() < demand.admitted_share(ask.rank, permits)
        )

    def count_refused(
        self, ask: PermitAsk, limits: dict[str, ServerLimit], free_in_ms: int
    ) -> int:
        """Count a refused ask; return when its client may come back.

        Clients are spread over the time in which the servers can take them all.
        """
        now_ms = self.clock.now_ms()
        refused = self.refused_ms.setdefault(ask.pool, deque())
        refused.append(now_ms)
        while refused[0] <= now_ms - WINDOW_MS:
            refused.popleft()
        rate_per_s = sum(limit.rate_per_s() for limit in limits.values())
        spread_ms = MS_PER_S * len(refused) / max(rate_per_s, 0.1)
        return min(
            int(free_in_ms + self.random.random() * spread_ms), MAX_RETRY_AFTER_MS
        )

    def expire(self) -> None:
        """Forget when permits may be free once that time has come."""
        now_ms = self.clock.now_ms()
        for start in [s for s, free_ms in self.free_at_ms.items() if free_ms <= now_ms]:
            del self.free_at_ms[start]
