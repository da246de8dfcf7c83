"""Permits of this router to send requests to servers that name a limit.

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

from .coordination.permit_demand import PermitDemand
from .coordination.permit_lease import PermitLease
from .coordination.permit_ledger import PERMIT_VALIDITY_MS, WINDOW_MS, capacity
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


class Permit(Struct):
    """A permit for one request; ``tell`` tells the keeper once how it ended."""

    server: BackendServer
    expires_ms: int
    tell: Callable[[bool], None] | None

    def end(self, sent: bool) -> None:
        """Record that the request has arrived, or that it was not sent."""
        if self.tell is not None:
            self.tell(sent)
            self.tell = None


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
    ) -> None:
        self.clock = clock
        self.random = random
        self.notices = notices
        self.find_keeper = find_keeper
        self.transmit = transmit
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
        return self.notices.limit_per_s(server.start) is not None

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
        )
        lease = self.leases.get(pool)
        if lease is not None and lease.held:
            answer = self.answer(ask, lease)
            tell = self.end_own(lease, answer.permit)
        else:
            keeper = self.find_keeper(pool)
            if keeper is None:
                self.retry_after_ms[pool] = NO_KEEPER_RETRY_MS
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
            return Permit(servers[answer.choice], asked_ms + PERMIT_VALIDITY_MS, tell)
        self.refused += 1
        self.retry_after_ms[pool] = answer.retry_after_ms
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
            self.retry_after_ms[ask.pool] = NO_KEEPER_RETRY_MS
            return None
        finally:
            del self.answers[ask.number]

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
        limits = {
            start: limit_per_s
            for start in ask.starts
            if (limit_per_s := self.notices.limit_per_s(start)) is not None
        }
        free = {start: ledger.free(start, limit) for start, limit in limits.items()}
        permits = sum(capacity(limit) for limit in limits.values())
        if ask.can_go_elsewhere or self.admits(ask, permits, sum(free.values())):
            share = SPARE_SHARE if ask.can_go_elsewhere else 0.0
            for choice, start in enumerate(ask.starts):
                if start in free and free[start] > ceil(
                    share * (capacity(limits[start]) - 1)
                ):
                    return PermitAnswer(ask.number, ledger.give(start), choice, [], 0)
        # Of a server without a limit here, the asker's knowledge is newer.
        free_in_ms = [
            ledger.free_in_ms(start, limits[start]) if start in limits else 0
            for start in ask.starts
        ]
        return PermitAnswer(
            ask.number, 0, 0, free_in_ms, self.count_refused(ask, max(free_in_ms))
        )

    def admits(self, ask: PermitAsk, permits: int, free: int) -> bool:
        """Return whether a request may have a permit beside the more urgent ones."""
        demand = self.demand.setdefault(ask.pool, PermitDemand(self.clock))
        demand.count(ask.rank)
        return free > (1 + ask.rank) * RANK_SPARE_SHARE * permits or (
            self.random.random() < demand.admitted_share(ask.rank, permits)
        )

    def count_refused(self, ask: PermitAsk, free_in_ms: int) -> int:
        """Count a refused ask; return when its client may come back.

        Clients are spread over the time in which the servers can take them all.
        """
        now_ms = self.clock.now_ms()
        refused = self.refused_ms.setdefault(ask.pool, deque())
        refused.append(now_ms)
        while refused[0] <= now_ms - WINDOW_MS:
            refused.popleft()
        limits = [self.notices.limit_per_s(start) or 0.0 for start in ask.starts]
        spread_ms = MS_PER_S * len(refused) / max(sum(limits), 0.1)
        return min(
            int(free_in_ms + self.random.random() * spread_ms), MAX_RETRY_AFTER_MS
        )

    def expire(self) -> None:
        """Forget when permits may be free once that time has come."""
        now_ms = self.clock.now_ms()
        for start in [s for s, free_ms in self.free_at_ms.items() if free_ms <= now_ms]:
            del self.free_at_ms[start]
