"""Routers that share the limit of a server, and the requests that reach it."""

from random import Random

from medlarridge_direct._internal.coordination.permit_ledger import MAX_OPEN_MS
from medlarridge_direct._internal.peer_reports import INTERVAL_PER_PEER_MS
from medlarridge_direct._internal.protocol.server_notices import ServerNotice

from .router_fleet import POOL, REPORT_INTERVAL_MS, STEP_MS, RouterFleet
from .samples import listing, server

RULE_SPAN_MS = 4_000
SERVER = server("a", pool=POOL)


class PermitFleet(RouterFleet):
    """Every router has requests for one server all the time.

    ``limit`` is what the server names, None for none. ``late_share`` of the requests
    arrive up to ``MAX_OPEN_MS`` after their permit was given, and the keeper is not
    told. ``arrivals_ms`` are those of requests whose router knew of the limit.
    """

    def __init__(self, size, limit, seed=1, late_share=0.2, loss=0.0):
        self.random = Random(seed)
        self.limit = limit
        self.late_share = late_share
        self.loss = loss
        self.arrivals_ms = []
        self.unpermitted = 0
        super().__init__(size)

    def start(self, number):
        first = number not in self.routers and self.clock.now_ms() == self.started_ms
        super().start(number)
        router = self.routers[number]
        leases = router.sync.permit_leases
        leases.era_view.since_ms = None if first else leases.started_ms
        router.components.random = Random(self.random.random())
        router.components.servers.update(listing(SERVER), self.clock.now_ms())

    def deliver(self, sender, data, address):
        if self.random.random() >= self.loss:
            super().deliver(sender, data, address)

    def keeper(self):
        """Return the number of the router that gives out the permits, or None."""
        kept = [
            number
            for number, router in self.routers.items()
            if any(lease.held for lease in router.components.permits.leases.values())
        ]
        assert len(kept) <= 1
        return kept[0] if kept else None

    async def run(self, duration_ms, traffic=True):
        interval_ms = max(REPORT_INTERVAL_MS, INTERVAL_PER_PEER_MS * len(self.routers))
        interval_ms -= interval_ms % STEP_MS
        for _ in range(0, duration_ms, STEP_MS):
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            running = [each for each in self.routers.values() if not each.paused]
            self.random.shuffle(running)
            for router in running:
                await router.sync_registry()
                if (now_ms + router.number * STEP_MS) % interval_ms == 0:
                    router.report()
                await router.sync.permit_leases.step()
                router.components.permits.expire()
            for router in running if traffic else ():
                await self.send_request(router)
            self.keeper()

    async def send_request(self, router):
        """Let a router send one request if it may."""
        now_ms = self.clock.now_ms()
        notices = router.components.notices
        notice = ServerNotice(self.limit)
        if notices.limit_per_s(SERVER.start) is None:
            self.unpermitted += 1
            self.answer(router, notice, now_ms)
            return
        permit = await router.components.permits.acquire(POOL, [SERVER])
        if permit is None:
            return
        if self.random.random() < self.late_share:
            self.arrivals_ms.append(now_ms + self.random.randrange(MAX_OPEN_MS))
            return
        self.arrivals_ms.append(now_ms)
        permit.end(sent=True)
        self.answer(router, notice, now_ms)

    def answer(self, router, notice, now_ms):
        """Let a router read a response, and tell its peers if the limit changed."""
        notices = router.components.notices
        before = notices.limit_per_s(SERVER.start)
        notices.record(SERVER.start, notice, now_ms - 1)
        if notices.limit_per_s(SERVER.start) != before:
            router.report()

    def most_arrivals(self):
        """Return the largest number of arrivals in any span of the rule."""
        times = sorted(self.arrivals_ms)
        most, first = 0, 0
        for last, time_ms in enumerate(times):
            while times[first] <= time_ms - RULE_SPAN_MS:
                first += 1
            most = max(most, last - first + 1)
        return most
