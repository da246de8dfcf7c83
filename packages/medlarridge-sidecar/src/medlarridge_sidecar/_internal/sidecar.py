"""Sidecar: admits attempts, runs them and keeps their responses for delivery."""

from collections.abc import Callable

import anyio
import anyio.abc

from medlarridge._internal.clock import MS_PER_S, Clock
from medlarridge._internal.coordination.attempts import AttemptRegister
from medlarridge._internal.coordination.drain import Drain
from medlarridge._internal.events import register
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.identity import Instance
from medlarridge._internal.log import log_event
from medlarridge._internal.metrics import SidecarMetrics
from medlarridge._internal.protocol.messages import (
    Accepted,
    Attempt,
    End,
    Heartbeat,
    NotRun,
    Outcome,
    Refusal,
)

from .admission import AdmissionContext, first_refusal
from .gates import Gate, ResponseWritten
from .live_attempt import LiveAttempt
from .server_call import ServerClient
from .server_result import CallState, ServerResult

PURGE_INTERVAL_MS = 1_000
DRAIN_POLL_MS = 20
ATTEMPT_FAILED = register(2031, "ERROR", "attempt failed in the sidecar")
RUN_LABEL = "run"


class Sidecar:
    """Admits and runs all attempts at one backend server."""

    def __init__(
        self,
        instance: Instance,
        pool: str,
        fleet: FleetView,
        server: ServerClient,
        clock: Clock,
        metrics: SidecarMetrics,
        gates: list[Gate],
        max_in_flight: int,
    ) -> None:
        self.instance = instance
        self.pool = pool
        self.fleet = fleet
        self.server = server
        self.clock = clock
        self.metrics = metrics
        self.gates = gates
        self.drain = Drain()
        self.stopping = False
        self.register = AttemptRegister(clock)
        self.live_attempts: dict[tuple[str, int], LiveAttempt] = {}
        self.context = AdmissionContext(
            instance, pool, fleet, self.drain, max_in_flight
        )
        self.load_hint: Callable[[], float] = lambda: float(len(self.live_attempts))
        self.tasks: anyio.abc.TaskGroup | None = None

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current load and generation."""
        return Heartbeat(self.load_hint(), self.fleet.generation)

    def receive(self, attempt: Attempt) -> LiveAttempt | NotRun:
        """Start a new attempt, or return the state of an attempt received before."""
        key = (attempt.request_id, attempt.number)
        if attempt.target == self.instance.number:
            record = self.register.find(*key)
            if record is not None and record.refusal is not None:
                return record.refusal
            if record is not None and key in self.live_attempts:
                return self.live_attempts[key]
            if record is not None:
                return self.refusal(
                    Refusal.DUPLICATE, "the attempt has ended; its answer is not kept"
                )
        if attempt.generation > self.fleet.generation:
            self.fleet.observe_generation(attempt.generation, "")
        refusal = first_refusal(self.context, attempt)
        if refusal is not None:
            self.metrics.attempts.labels(refusal.reason).inc()
            if self.register.find(*key) is not None:
                # A refused attempt at another instance must not replace the record.
                return refusal
            return self.register.refuse(attempt, refusal)
        return self.start(attempt)

    def start(self, attempt: Attempt) -> LiveAttempt:
        """Start the task of a new attempt."""
        if self.tasks is None:
            raise RuntimeError("the sidecar is not running")
        stream = self.register.open(attempt)
        record = self.register.add(attempt)
        live = LiveAttempt(attempt, record, stream)
        self.live_attempts[(attempt.request_id, attempt.number)] = live
        self.drain.start_work()
        self.metrics.in_flight.set(self.drain.in_flight)
        self.tasks.start_soon(self.run_attempt, live)
        return live

    async def run_attempt(self, live: LiveAttempt) -> None:
        """Run one attempt until it ends."""
        try:
            with live.scope:
                await self.pass_gates(live, self.gates)
                self.report_result(live)
            if live.scope.cancelled_caught and not live.ended:
                self.end_unfinished(live, "cancelled")
        except Exception as error:
            # An error in one attempt must not end the process and all other attempts.
            log_event(
                ATTEMPT_FAILED, request=live.attempt.request_id, error=repr(error)
            )
            if not live.ended:
                self.end_unfinished(live, "internal error")
        finally:
            self.drain.end_work()
            self.metrics.in_flight.set(self.drain.in_flight)
            live.produced.notify_all()

    async def pass_gates(self, live: LiveAttempt, gates: list[Gate]) -> None:
        """Enter the gates in order, call the server and leave the gates in reverse."""
        if not gates:
            await self.call_server(live)
            return
        gate_result = await gates[0].enter(live)
        if isinstance(gate_result, NotRun):
            self.withdraw(live, gate_result)
        elif isinstance(gate_result, ResponseWritten):
            self.end(live, gate_result.outcome, gate_result.detail)
        else:
            try:
                await self.pass_gates(live, gates[1:])
            finally:
                with anyio.CancelScope(shield=True):
                    await gates[0].leave(live)

    async def call_server(self, live: LiveAttempt) -> None:
        """Call the backend server."""
        remaining_ms = self.remaining_ms(live)
        if remaining_ms <= 0:
            live.result = ServerResult(CallState.NEVER_SENT, "deadline passed")
            return
        waited_ms = self.clock.now_ms() - live.stream.started_ms
        self.metrics.admission_wait.observe(waited_ms / MS_PER_S)
        self.metrics.attempts.labels(RUN_LABEL).inc()
        live.stream.accepted = Accepted(self.instance)
        live.produced.notify_all()
        live.result = await self.server.call(live, remaining_ms)

    def report_result(self, live: LiveAttempt) -> None:
        """Record the end of the attempt from the result of the call."""
        result = live.result
        if result is None or live.ended:
            return
        if result.state is CallState.NEVER_SENT:
            expired = self.remaining_ms(live) <= 0
            reason = Refusal.DEADLINE if expired else Refusal.SERVER_UNREACHABLE
            self.withdraw(live, self.refusal(reason, result.detail))
            return
        complete = result.state is CallState.COMPLETE
        self.end(live, Outcome.COMPLETE if complete else Outcome.UNKNOWN, result.detail)

    def remaining_ms(self, live: LiveAttempt) -> int:
        """Return the time until the deadline of the attempt."""
        elapsed_ms = self.clock.now_ms() - live.stream.started_ms
        return live.attempt.deadline_ms - elapsed_ms

    def refusal(self, reason: Refusal, detail: str, retry_after_ms: int = 0) -> NotRun:
        """Return a refusal that carries the generation of the sidecar."""
        return NotRun(reason, self.fleet.generation, detail, retry_after_ms)

    def withdraw(self, live: LiveAttempt, refusal: NotRun) -> None:
        """Refuse an attempt whose call never reached the backend server."""
        live.stream.accepted = None
        self.metrics.attempts.labels(refusal.reason).inc()
        self.register.withdraw(live.attempt, refusal)
        live.produced.notify_all()

    def end(self, live: LiveAttempt, outcome: Outcome, detail: str = "") -> None:
        """Record the end of an accepted attempt."""
        self.metrics.outcomes.labels(outcome).inc()
        live.stream.end = End(outcome, live.stream.next_number, detail)
        live.produced.notify_all()

    def end_unfinished(self, live: LiveAttempt, detail: str) -> None:
        """Record the end of an attempt that was cancelled or failed."""
        if live.maybe_sent:
            self.end(live, Outcome.UNKNOWN, detail)
        else:
            self.withdraw(live, self.refusal(Refusal.DEADLINE, detail))

    def set_listed_leaving(self, leaving: bool) -> None:
        """Set draining as the platform lists this VM, unless the process is stopping."""
        if not self.stopping:
            self.drain.leaving = leaving

    def cancel(self, request_id: str, number: int) -> bool:
        """Cancel an attempt; return whether it is known.

        A call that may not be repeated continues once it may have been sent, so that
        its result is recorded.
        """
        live = self.live_attempts.get((request_id, number))
        if live is None:
            return False
        if live.attempt.repeatable or not live.maybe_sent:
            live.scope.cancel()
        return True

    async def run(self, stop: anyio.Event) -> None:
        """Run attempts until ``stop`` is set and all have ended."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.purge_periodically)
            await stop.wait()
            self.stopping = True
            self.drain.leave()
            while self.drain.in_flight:
                await anyio.sleep(DRAIN_POLL_MS / MS_PER_S)
            tasks.cancel_scope.cancel()

    async def purge_periodically(self) -> None:
        """Remove expired attempts and cancel abandoned ones, once per second."""
        while True:
            await anyio.sleep(PURGE_INTERVAL_MS / MS_PER_S)
            self.register.purge()
            now_ms = self.clock.now_ms()
            for key, live in list(self.live_attempts.items()):
                if live.is_removable(now_ms) or self.register.find(*key) is None:
                    live.stream.release()
                    del self.live_attempts[key]
                    continue
                if live.stream.is_abandoned(now_ms) and live.attempt.repeatable:
                    live.scope.cancel()
