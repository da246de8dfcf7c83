"""One request of a client, from the first attempt to the end of its answer."""

from dataclasses import dataclass
from enum import StrEnum

from medlarridge._internal.clock import MS_PER_S

from .attempt import Attempt, AttemptOutcome, Ended
from .coordination.server_health import AttemptResult
from .logs import RequestLog
from .parts import RouterParts
from .protocol.configuration import Account as ClientAccount
from .protocol.configuration import Pool, Route, RouteKind, effective_priority
from .protocol.events import EventSplitter, is_after
from .protocol.requests import (
    ClientRequest,
    ForwardingMetadata,
    RequestMetadata,
    ResponseHead,
)
from .protocol.servers import BackendServer
from .refusals import send_refusal
from .server_choice import rank_servers
from .transport.client_connection import AnswerWriter
from .transport.exchange import Broken

MAX_REFUSED_SENDS = 4
"""Attempts of one request that may end without running; each costs a round trip."""

MIN_ATTEMPT_MS = 20
"""Time left below which another attempt cannot be answered."""

RETRY_AFTER_MS = 400
RETRY_SPREAD_MS = 400
"""Time after which a refused client may return; spread so that clients that were
refused together do not return together."""

REPEAT_OBJECTIVES = 2.5
MIN_REPEAT_MS = 250
MIN_RESUME_MS = 1_000
"""Silence after which a repeatable request goes to another server: a multiple of its
objective, not below the time a busy server needs."""

BUFFERED_ANSWER_BYTES = 1_048_576
"""Answers up to this size are sent only when they are whole."""

MAX_URGENCY = 9
URGENCY_OF_FIRST = 3
"""Urgency given to priority 0; a server serves lower numbers first."""


SUCCESS_CLASS = 2
FIRST_SERVER_ERROR = 500


class Stop(StrEnum):
    """Why a request is given up."""

    DEADLINE = "deadline"
    NO_SERVER = "no-server"
    BUDGET = "retry-budget"
    ATTEMPTS = "attempts"
    MAY_HAVE_RUN = "may-have-run"
    CRASHES_SERVERS = "crashes-servers"


@dataclass(frozen=True, slots=True)
class Accepted:
    """A request that the configuration allows."""

    request: ClientRequest
    metadata: RequestMetadata
    route: Route
    pool: Pool
    account: ClientAccount | None
    fingerprint: int


class RequestRun:
    """Finds a server for a request and delivers the answer."""

    def __init__(
        self,
        parts: RouterParts,
        accepted: Accepted,
        answer: AnswerWriter,
        log: RequestLog,
    ) -> None:
        self.parts = parts
        self.accepted = accepted
        self.route = accepted.route
        self.metadata = accepted.metadata
        self.answer = answer
        self.log = log
        waits_ms = accepted.route.timeout_ms
        if accepted.metadata.deadline_ms is not None:
            waits_ms = min(waits_ms, accepted.metadata.deadline_ms)
        self.end_ms = accepted.request.received_ms + waits_ms
        self.tried: set[str] = set()
        self.arrivals = 0
        self.refused_sends = 0
        self.runs = 0
        self.last_event = accepted.metadata.resume_after

    def left_ms(self) -> int:
        """Return the time that is left for the answer."""
        return self.end_ms - self.parts.clock.now_ms()

    async def run(self) -> None:
        """Try servers until the answer is delivered or the request is given up."""
        self.parts.budget.count_request(self.accepted.pool.name)
        while True:
            stop = self.stop_before_attempt()
            if stop is not None:
                self.give_up(stop)
                return
            server = self.choose()
            if server is None:
                self.give_up(Stop.NO_SERVER)
                return
            if self.arrivals and not self.parts.budget.take(self.accepted.pool.name):
                self.give_up(Stop.BUDGET)
                return
            self.tried.add(server.instance)
            if await self.attempt(server):
                return

    def stop_before_attempt(self) -> Stop | None:
        """Return why no further attempt is made, if so."""
        if self.left_ms() < MIN_ATTEMPT_MS:
            return Stop.DEADLINE
        if self.runs and not self.route.repeatable:
            return Stop.MAY_HAVE_RUN
        if self.runs >= self.route.max_attempts:
            return Stop.ATTEMPTS
        if self.refused_sends >= MAX_REFUSED_SENDS:
            return Stop.ATTEMPTS
        if self.parts.guard.should_refuse(self.accepted.fingerprint):
            return Stop.CRASHES_SERVERS
        return None

    def choose(self) -> BackendServer | None:
        """Return the next server to try."""
        ranked = rank_servers(
            self.parts,
            self.accepted.pool,
            self.metadata.prompt if self.route.uses_prompt_cache else (),
            self.tried,
            self.may_run_again(),
        )
        return ranked[0] if ranked else None

    async def attempt(self, server: BackendServer) -> bool:
        """Send the request to a server; return whether the request has ended."""
        limit = self.parts.budget.router_count
        metadata = self.forwarding(server)
        with Attempt(
            self.parts,
            server,
            self.accepted.request,
            self.metadata.request_id,
            self.accepted.fingerprint,
            self.accepted.pool.max_connections // max(limit, 1),
        ) as attempt:
            self.log.sent(server, self.parts, metadata, self.refused_sends + self.runs)
            outcome = await attempt.start(metadata, self.patience_ms())
            if outcome.reached_server:
                self.arrivals += 1
            if outcome.ended is Ended.ANSWER:
                return await self.deliver(attempt, outcome)
            self.count(attempt, outcome)
            return False

    def forwarding(self, server: BackendServer) -> ForwardingMetadata:
        """Return what is added to the request for an attempt."""
        account = self.accepted.account
        urgency = None
        if self.accepted.pool.runs_models:
            priority = effective_priority(self.route, account)
            urgency = min(URGENCY_OF_FIRST + priority, MAX_URGENCY)
        source = self.fetch_source(server)
        return ForwardingMetadata(
            instance=server.instance,
            deadline_ms=max(self.left_ms(), 1),
            account=None if account is None else account.name,
            urgency=urgency,
            resume_after=self.last_event,
            fetch_from=None if source is None else source.address,
        )

    def fetch_source(self, server: BackendServer) -> BackendServer | None:
        """Return where cached parts of the prompt come from; note where they will be."""
        if not self.route.uses_prompt_cache or not self.metadata.prompt:
            return None
        health, now_ms = self.parts.health, self.parts.clock.now_ms()
        others = [
            other
            for other in self.parts.servers.fetch_sources(server.pool)
            if not health.is_unreachable(other.instance, now_ms)
        ]
        placement = self.parts.placement
        source = placement.fetch_source(server, self.metadata.prompt, others)
        held = placement.cache_index.record_prompt(
            self.metadata.prompt, server.instance
        )
        if held:
            self.parts.on_held(held)
        return source

    def patience_ms(self) -> int:
        """Return how long a server may be silent before another is tried."""
        left_ms = max(self.left_ms(), 1)
        if not self.may_run_again():
            return left_ms
        least_ms = MIN_REPEAT_MS
        if self.route.kind is RouteKind.STREAM:
            least_ms = MIN_RESUME_MS
        silence_ms = REPEAT_OBJECTIVES * max(self.route.objective_ms, self.route.gap_ms)
        return min(left_ms, max(int(silence_ms), least_ms))

    def count(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Count an attempt that gave no answer."""
        if outcome.may_have_run:
            self.runs += 1
        else:
            self.refused_sends += 1
        if outcome.ended in (Ended.SILENT, Ended.FAULTY):
            attempt.observe(AttemptResult.FAILED)
        self.log.attempt_ended(attempt.server, outcome.ended, outcome.detail)

    # Delivery

    async def deliver(self, attempt: Attempt, outcome: AttemptOutcome) -> bool:
        """Deliver an answer; return whether the request has ended."""
        head = outcome.head
        assert head is not None
        failed = head.status >= FIRST_SERVER_ERROR
        attempt.observe(AttemptResult.FAILED if failed else AttemptResult.ANSWERED)
        successful = head.status // 100 == SUCCESS_CLASS
        # A stream that has begun can only go on with events, never with a failure.
        if (failed and self.may_repeat()) or (self.answer.started and not successful):
            self.runs += 1
            detail = f"status {head.status}"
            self.log.attempt_ended(attempt.server, Ended.FAULTY, detail)
            return False
        if self.route.kind is RouteKind.STREAM and successful:
            return await self.deliver_stream(attempt, head)
        return await self.deliver_whole(attempt, head)

    def may_run_again(self) -> bool:
        """Whether the route allows another run after the next one."""
        return self.route.repeatable and self.runs + 1 < self.route.max_attempts

    def may_repeat(self) -> bool:
        """Whether another attempt could follow one that may have run."""
        return (
            self.may_run_again()
            and self.left_ms() >= MIN_ATTEMPT_MS
            and self.parts.budget.remaining(self.accepted.pool.name) >= 1
        )

    async def deliver_whole(self, attempt: Attempt, head: ResponseHead) -> bool:
        """Collect the answer and send it when it is complete."""
        collected = bytearray()
        while True:
            try:
                event = await attempt.next_event(max(self.left_ms(), 1))
            except TimeoutError:
                event = Broken("deadline passed within the answer")
            if isinstance(event, Broken):
                return self.broken_answer(attempt, event.detail)
            if event is None:
                break
            collected += event.data
            if len(collected) > BUFFERED_ANSWER_BYTES or self.answer.started:
                self.begin(head, head.content_length)
                await self.answer.write(bytes(collected))
                collected.clear()
        self.begin(head, len(collected) if not self.answer.started else None)
        await self.answer.write(bytes(collected))
        self.answer.end()
        self.log.finished(head.status, attempt.server)
        return True

    async def deliver_stream(self, attempt: Attempt, head: ResponseHead) -> bool:
        """Pass on the events of a stream as they come."""
        if not self.route.resumable:
            return await self.deliver_bytes(attempt, head)
        splitter = EventSplitter()
        while True:
            try:
                event = await attempt.next_event(self.patience_ms())
            except TimeoutError:
                attempt.observe(AttemptResult.FAILED)
                return self.broken_answer(attempt, "stream went silent")
            if isinstance(event, Broken):
                return self.broken_answer(attempt, event.detail)
            if event is None:
                break
            ready = bytearray()
            for piece in splitter.feed(event.data):
                if is_after(piece.event_id, self.last_event):
                    ready += piece.data
                    self.last_event = piece.event_id or self.last_event
            if ready:
                self.begin(head, None)
                await self.answer.write(bytes(ready))
        self.begin(head, None)
        await self.answer.write(splitter.take_remainder())
        self.answer.end()
        self.log.finished(head.status, attempt.server)
        return True

    async def deliver_bytes(self, attempt: Attempt, head: ResponseHead) -> bool:
        """Pass on a stream that only its first server can continue."""
        while True:
            try:
                event = await attempt.next_event(max(self.left_ms(), 1))
            except TimeoutError:
                event = Broken("deadline passed within the stream")
            if isinstance(event, Broken):
                return self.broken_answer(attempt, event.detail)
            if event is None:
                break
            self.begin(head, head.content_length)
            await self.answer.write(event.data)
        self.begin(head, head.content_length)
        self.answer.end()
        self.log.finished(head.status, attempt.server)
        return True

    def begin(self, head: ResponseHead, content_length: int | None) -> None:
        """Send the head of the answer unless it was sent."""
        if not self.answer.started:
            headers = self.parts.dialect.client_headers(head)
            self.answer.begin(head.status, head.reason, headers, content_length)
            self.log.first_bytes()

    def broken_answer(self, attempt: Attempt, detail: str) -> bool:
        """Handle the end of an answer that is not complete; return whether it is final.

        A stream that has begun continues at another server if it may.
        """
        self.runs += 1
        self.log.attempt_ended(attempt.server, Ended.BROKEN, detail)
        resumable = self.route.kind is RouteKind.STREAM and self.route.resumable
        if self.answer.started and not resumable:
            self.log.cut(detail)
            return True
        return False

    def give_up(self, stop: Stop) -> None:
        """Send the final answer of a request that is not served."""
        if self.answer.started:
            self.log.cut(stop)
            return
        retry_after_ms = 0
        if self.runs == 0:
            status = 503
            retry_after_ms = RETRY_AFTER_MS + self.parts.random.randrange(
                RETRY_SPREAD_MS
            )
        else:
            status = 504 if stop is Stop.DEADLINE else 502
        send_refusal(
            self.parts.dialect,
            self.answer,
            status,
            stop,
            self.metadata.request_id,
            retry_after_ms,
        )
        self.log.refused(status, stop, retry_after_ms / MS_PER_S)
