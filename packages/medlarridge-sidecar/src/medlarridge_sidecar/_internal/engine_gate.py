"""Gate of a model engine: fair queue, load bound and prefix reuse."""

from dataclasses import dataclass, field

from medlarridge._internal.clock import Clock
from medlarridge._internal.coordination.fair_queue import (
    FairQueue,
    QueueEntry,
    Shed,
    ShedReason,
)
from medlarridge._internal.coordination.retry import FREE_REDIRECTS
from medlarridge._internal.coordination.reuse_planner import (
    Refuse,
    Request,
    ReusePlanner,
    Run,
    Wait,
)
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.metrics import SidecarMetrics
from medlarridge._internal.protocol.messages import NotRun, Refusal
from medlarridge._internal.protocol.tables import PoolKind
from medlarridge._internal.transport.notifier import Notifier

from .gates import ResponseWritten
from .kv_transfer import KvTransfer
from .live_attempt import LiveAttempt
from .reuse_messages import ReuseMessages
from .server_result import CallState

EXPIRY_CHECK_INTERVAL_MS = 50
SHED_DETAIL = {
    ShedReason.WAIT_EXCEEDS_DEADLINE: "the expected wait exceeds the deadline",
    ShedReason.WAIT_EXCEEDS_MAXIMUM: "the expected wait exceeds the maximum",
    ShedReason.EXPIRED: "no room came free in time",
    ShedReason.QUEUE_FULL: "the queue is full",
    ShedReason.OVER_BOUND: "the request does not fit the engine",
}
MOVED_DETAIL = "another engine holds more of the chat's prefix"
OVER_BOUND_DETAIL = "the engine is over the load bound of its pool"
FIRST_ATTEMPT = 1
TOKEN_EVENT_PREFIX = b"data: "


@dataclass
class Admission:
    """Progress of one attempt through the gate."""

    entry: QueueEntry
    request: Request
    changed: Notifier = field(default_factory=Notifier)
    started: bool = False
    shed: Shed | None = None
    run: Run | None = None
    imported_tokens: int = 0
    generated_tokens: int = 0


class EngineGate:
    """Admits attempts to the engine and reports their progress.

    The fair queue orders the attempts while the engine is full. The planner then
    applies the load bound and decides about the prefix.
    """

    def __init__(
        self,
        planner: ReusePlanner,
        queue: FairQueue,
        messages: ReuseMessages,
        transfer: KvTransfer,
        fleet: FleetView,
        clock: Clock,
        metrics: SidecarMetrics,
    ) -> None:
        self.planner = planner
        self.queue = queue
        self.messages = messages
        self.transfer = transfer
        self.fleet = fleet
        self.clock = clock
        self.metrics = metrics
        self.admissions: dict[str, Admission] = {}
        messages.on_ready = self.wake_ready

    async def enter(self, live: LiveAttempt) -> NotRun | ResponseWritten | None:
        """Wait for a turn in the queue and then for the decision of the planner."""
        pool = self.fleet.tables.pools.get(live.attempt.pool)
        if pool is not None and pool.kind is PoolKind.SERVICE:
            return None
        admission = self.new_admission(live)
        redirect = self.planner.redirect(admission.request)
        if redirect is not None:
            return self.refusal_from_plan(redirect)
        key = admission.entry.key
        offered = self.queue.offer(admission.entry)
        if isinstance(offered, Shed):
            return self.refusal_from_shed(offered)
        self.admissions[key] = admission
        entered = False
        try:
            self.dispatch()
            refusal = await self.wait_for_turn(admission)
            if refusal is None:
                refusal = await self.wait_for_plan(admission)
            if refusal is None:
                await self.import_prefix(admission)
                entered = True
                live.on_data = lambda data: self.record_data(admission, data)
            return refusal
        finally:
            if not entered:
                self.remove(admission)
            self.update_metrics()

    def new_admission(self, live: LiveAttempt) -> Admission:
        """Return the entry for the queue and the request for the planner."""
        attempt = live.attempt
        key = f"{attempt.request_id}/{attempt.number}"
        deadline_ms = live.stream.started_ms + attempt.deadline_ms
        request = Request(
            key,
            attempt.chat,
            attempt.route,
            attempt.prompt_tokens,
            attempt.output_tokens,
            deadline_ms,
            tuple(attempt.ranked),
            attempt.import_from,
            attempt.number == FIRST_ATTEMPT,
            attempt.number > FREE_REDIRECTS,
        )
        local_tokens = self.planner.local_tokens(
            request, self.planner.index.get(attempt.chat)
        )
        work_tokens = max(1, round(self.planner.work(request, local_tokens)))
        entry = QueueEntry(
            key, attempt.account, work_tokens, deadline_ms, attempt.priority
        )
        return Admission(entry, request)

    async def wait_for_turn(self, admission: Admission) -> NotRun | None:
        """Wait until the fair queue starts the entry or sheds it."""
        while not admission.started and admission.shed is None:
            await admission.changed.wait(EXPIRY_CHECK_INTERVAL_MS)
            self.expire()
        return self.refusal_from_shed(admission.shed) if admission.shed else None

    async def wait_for_plan(self, admission: Admission) -> NotRun | None:
        """Wait until the planner decides to run the request or refuses it."""
        while True:
            plan = self.planner.plan(admission.request)
            if isinstance(plan, Run):
                admission.run = plan
                return None
            if isinstance(plan, Refuse):
                return self.refusal_from_plan(plan)
            assert isinstance(plan, Wait)
            await self.messages.send_all(plan.queries)
            await admission.changed.wait(plan.until_ms - self.clock.now_ms())

    def refusal_from_plan(self, plan: Refuse) -> NotRun:
        """Return the refusal of an attempt that should run on another engine."""
        return NotRun(
            Refusal.LOAD_BOUND,
            self.fleet.generation,
            MOVED_DETAIL if plan.moved else OVER_BOUND_DETAIL,
            plan.retry_after_ms,
            list(plan.candidates),
        )

    async def import_prefix(self, admission: Admission) -> None:
        """Import missing blocks of the prefix; after a failure they are prefilled."""
        run = admission.run
        if run is None or not run.import_from:
            return
        tokens = await self.transfer.fetch(
            run.import_from, admission.request.chat, run.cached_tokens
        )
        admission.imported_tokens = max(tokens - run.cached_tokens, 0)

    def record_data(self, admission: Admission, data: bytes) -> None:
        """Report the generated tokens to the planner, counted as one per event."""
        admission.generated_tokens += data.count(TOKEN_EVENT_PREFIX)
        if admission.generated_tokens:
            self.planner.progress(admission.request.id, admission.generated_tokens)

    async def leave(self, live: LiveAttempt) -> None:
        """Release the work and report the cached tokens that the engine stated."""
        key = f"{live.attempt.request_id}/{live.attempt.number}"
        admission = self.admissions.get(key)
        if admission is None:
            return
        notices = []
        complete = live.result is not None and live.result.state is CallState.COMPLETE
        if complete and live.stream.head is not None:
            cached = reported_cached_tokens(live)
            self.count_source(admission, cached)
            notices = self.planner.finish(
                key,
                max(cached - admission.imported_tokens, 0),
                admission.imported_tokens,
                live.attempt.prompt_tokens + live.attempt.output_tokens,
            )
        self.remove(admission)
        self.update_metrics()
        await self.messages.send_all(notices)

    def count_source(self, admission: Admission, cached: int) -> None:
        """Count whether the prefix was imported, found in the cache or prefilled."""
        if admission.imported_tokens:
            source = "imported"
        elif cached:
            source = "found"
        else:
            source = "prefilled"
        self.metrics.prefix_sources.labels(source).inc()

    def remove(self, admission: Admission) -> None:
        """Remove an attempt from queue and planner and start others."""
        key = admission.entry.key
        self.admissions.pop(key, None)
        self.planner.abandon(key)
        if not self.queue.cancel(key):
            self.queue.finish(key)
        self.dispatch()
        self.wake_ready()

    def dispatch(self) -> None:
        """Start the entries for which the engine has capacity."""
        for entry in self.queue.dispatch():
            admission = self.admissions[entry.key]
            admission.started = True
            admission.changed.notify_all()

    def expire(self) -> None:
        """Shed entries whose waiting time has expired."""
        for shed in self.queue.expire():
            admission = self.admissions.get(shed.entry.key)
            if admission is not None:
                admission.shed = shed
                admission.changed.notify_all()

    def wake_ready(self) -> None:
        """Wake the attempts about which the planner can now decide."""
        for key in self.planner.take_ready():
            if key in self.admissions:
                self.admissions[key].changed.notify_all()

    def refusal_from_shed(self, shed: Shed) -> NotRun:
        """Return the refusal of an entry that the queue has shed."""
        exceeds_deadline = shed.reason is ShedReason.WAIT_EXCEEDS_DEADLINE
        return NotRun(
            Refusal.DEADLINE if exceeds_deadline else Refusal.LOAD_BOUND,
            self.fleet.generation,
            SHED_DETAIL[shed.reason],
            shed.retry_after_ms,
        )

    def update_metrics(self) -> None:
        """Update the metrics."""
        self.metrics.load.set(self.planner.load)
        self.metrics.queued.set(len(self.queue.waiting))
        estimate = self.planner.mean.estimate()
        if estimate is not None:
            self.metrics.pool_mean.set(estimate.mean)


def reported_cached_tokens(live: LiveAttempt) -> int:
    """Return the length of the cached prefix that the engine reported, or 0."""
    head = live.stream.head
    text = dict(head.headers).get("x-cached-tokens", "") if head else ""
    return int(text) if text.isdecimal() else 0
