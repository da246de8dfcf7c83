"""Forwarding of one client request: attempts, retries and delivery of the response."""

from collections.abc import Sequence
from enum import StrEnum
from itertools import takewhile

from msgspec.structs import replace

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.protocol.server_sent_events import is_after

from .attempt import SUCCESS_STATUS_CLASS, Attempt
from .attempt_outcome import AttemptOutcome, OutcomeKind
from .components import RouterComponents
from .coordination.part_crashes import part_keys
from .coordination.retry_budget import RetryEnd
from .coordination.server_health import AttemptResult
from .logs import RequestLog
from .prompt_reuse import PromptReuse
from .protocol.accepted_request import LATE_DELIVERY_MS, AcceptedRequest
from .protocol.configuration import RouteKind, effective_priority
from .protocol.requests import ForwardingMetadata, ResponseHead
from .protocol.servers import BackendServer
from .received_body import BodyPart
from .refusals import send_refusal
from .request_stage import RequestStage
from .send_permits import Permit
from .server_selection import has_reachable_server, rank_servers
from .stream_continuity import StreamContinuity
from .transport.client_connection import ResponseWriter
from .transport.http_connection import Broken

MAX_ATTEMPTS_NOT_RUN = 4
"""Attempts of one request that may fail without running; each costs a round trip."""

MIN_ATTEMPT_TIME_MS = 20
"""Time before the deadline below which another attempt cannot get a response."""

RETRY_AFTER_MS = 400
RETRY_AFTER_JITTER_MS = 400
"""Delay after which a refused client may retry. The jitter keeps clients that were
refused together from retrying together."""

MAX_REST_JITTER_MS = 2_000
"""Longest time over which clients return after the rest of a server."""

RETRY_TIMEOUT_FACTOR = 2.5
MIN_RETRY_TIMEOUT_MS = 250
MIN_RESUME_TIMEOUT_MS = 1_000
"""Time without data after which a repeatable request is sent to another server: a
multiple of the route's latency objective, but at least the time a busy server needs."""

MAX_BUFFERED_RESPONSE_BYTES = 1_048_576
"""Responses up to this size are sent only when complete, so that a broken one can still
be retried or replaced by an error."""

MAX_URGENCY = 9
BASE_URGENCY = 3
"""Urgency of priority 0; servers run requests of lower urgency values first."""

MIN_SERVER_ERROR_STATUS = 500


class GiveUpReason(StrEnum):
    """Reasons for giving up a request."""

    DEADLINE = "deadline"
    NO_SERVER = "no-server"
    SERVER_LIMITS = "server-limits"
    SERVERS_REST = "servers-rest"
    NO_SERVER_OF_VERSION = "no-server-of-version"
    UNKNOWN_STREAM = "unknown-stream"
    BUDGET = "retry-budget"
    ATTEMPTS = "attempts"
    MAY_HAVE_RUN = "may-have-run"
    CRASHES_SERVERS = "crashes-servers"
    CRASHING_PART = "crashing-part"
    STOPPING = "router-stopping"


TIMEOUT_REASONS = frozenset({GiveUpReason.DEADLINE, GiveUpReason.STOPPING})
"""Reasons for which the server was not waited for any longer."""


class RequestRun:
    """Forwards a request to servers until one of them delivers a response.

    ``attempts_received`` counts the attempts that a server received, ``runs`` those
    that may have run there and ``attempts_not_run`` those that did not run.
    ``without_permit`` are servers with a limit that had no permit for this request.
    ``tries_part`` marks a request that tries a prompt part which is refused otherwise.
    """

    def __init__(
        self,
        components: RouterComponents,
        accepted: AcceptedRequest,
        response: ResponseWriter,
        log: RequestLog,
    ) -> None:
        self.components = components
        self.accepted = accepted
        self.route = accepted.route
        self.metadata = accepted.metadata
        self.response = response
        self.log = log
        self.prompt_reuse = PromptReuse(
            components, accepted.route, accepted.metadata.prompt, log
        )
        self.continuity = StreamContinuity(
            components, accepted.route, accepted.metadata, log
        )
        self.deadline_at_ms = accepted.deadline_at_ms
        self.tried_instances: set[str] = set()
        self.without_permit: set[str] = set()
        self.attempts_received = 0
        self.attempts_not_run = 0
        self.any_silent = False
        self.runs = 0
        self.last_event_id = accepted.metadata.resume_after
        self.shared_parts = part_keys(accepted.metadata.shared_parts)
        self.tries_part = False
        self.current_attempt: Attempt | None = None
        self.ended_by_stop = False

    @property
    def stage(self) -> RequestStage:
        """Return how far the request has come."""
        if self.response.started:
            return RequestStage.BEGUN
        attempt = self.current_attempt
        if self.runs or (attempt is not None and attempt.exchange is not None):
            return RequestStage.SENT
        return RequestStage.WAITING

    def remaining_ms(self) -> int:
        """Return the time that is left before the deadline."""
        return self.deadline_at_ms - self.components.clock.now_ms()

    async def run(self) -> None:
        """Try servers until the response is delivered or the request is given up."""
        if self.continuity.takes_up_stream:
            pool = await self.continuity.find_pool(self.accepted.pool)
            if pool is None:
                self.give_up(GiveUpReason.UNKNOWN_STREAM)
                return
            self.accepted = replace(self.accepted, pool=pool)
        self.components.retry_budget.count_request(self.accepted.pool.name)
        while True:
            reason = self.reason_to_give_up()
            if reason is not None:
                self.give_up(reason)
                return
            ranked = self.rank_servers()
            if not ranked:
                self.give_up(self.reason_without_server())
                return
            server, permit = ranked[0], None
            if await self.prompt_reuse.wait_until_processed(server):
                continue
            if self.components.permits.is_needed(server):
                permit = await self.acquire_permit(ranked)
                if permit is None:
                    continue
                server = permit.server
            if self.attempts_received and not self.components.retry_budget.take(
                self.accepted.pool.name
            ):
                if permit is not None:
                    permit.end(sent=False)
                self.give_up(GiveUpReason.BUDGET)
                return
            self.tried_instances.add(server.instance)
            if await self.attempt(server, permit):
                return

    def reason_without_server(self) -> GiveUpReason:
        """Return why no server is left to try."""
        if self.without_permit:
            return GiveUpReason.SERVER_LIMITS
        if self.rest_left_ms() > 0:
            return GiveUpReason.SERVERS_REST
        if self.continuity.origin is not None:
            return GiveUpReason.NO_SERVER_OF_VERSION
        return GiveUpReason.NO_SERVER

    def reason_to_give_up(self) -> GiveUpReason | None:
        """Return why no further attempt may be made, or None."""
        if self.components.stop_schedule.has_ended():
            return GiveUpReason.STOPPING
        if self.remaining_ms() < MIN_ATTEMPT_TIME_MS:
            return GiveUpReason.DEADLINE
        if self.runs and not self.route.repeatable:
            return GiveUpReason.MAY_HAVE_RUN
        if self.runs >= self.route.max_attempts:
            return GiveUpReason.ATTEMPTS
        if self.attempts_not_run >= MAX_ATTEMPTS_NOT_RUN:
            return GiveUpReason.ATTEMPTS
        if self.components.crash_guard.should_refuse(self.accepted.fingerprint):
            return GiveUpReason.CRASHES_SERVERS
        if self.has_refused_part():
            return GiveUpReason.CRASHING_PART
        return None

    def has_refused_part(self) -> bool:
        """Return whether the prompt has a part that crashes servers.

        Such a part is tried now and then, with one request that is not repeated.
        """
        if self.tries_part and not self.runs:
            return False
        crashing_parts = self.components.crashing_parts
        held = crashing_parts.find_held(self.shared_parts)
        if not held:
            return False
        rank = self.components.router_rank()
        if not self.runs and crashing_parts.begin_trial(held, rank):
            self.tries_part = True
            self.log.parts_tried(held)
            self.components.on_parts_changed()
            return False
        return True

    def rank_servers(self) -> list[BackendServer]:
        """Return the servers that may still be tried, the best first."""
        return rank_servers(
            self.components,
            self.accepted.pool,
            self.prompt_reuse.prompt,
            self.tried_instances | self.without_permit,
            self.may_run_again(),
            self.continuity.software_version,
            self.continuity.held_back_versions(self.accepted.pool),
        )

    async def acquire_permit(self, ranked: Sequence[BackendServer]) -> Permit | None:
        """Return a permit for one of the servers that rank first and have a limit.

        Without one, these servers are left out, and the next ones are tried.
        """
        permits = self.components.permits
        limited = list(takewhile(permits.is_needed, ranked))
        permit = await permits.acquire(
            self.accepted.pool.name,
            limited,
            rank=effective_priority(self.route, self.accepted.account),
            can_go_elsewhere=len(limited) < len(ranked),
        )
        if permit is None:
            self.without_permit.update(server.instance for server in limited)
            self.log.permit_refused(limited)
        return permit

    async def attempt(self, server: BackendServer, permit: Permit | None) -> bool:
        """Send the request to a server; return whether the request is finished."""
        metadata = self.forwarding_metadata(server)
        with Attempt(
            self.components,
            server,
            self.accepted.request,
            self.metadata.request_id,
            self.accepted.fingerprint,
            self.accepted.pool.max_connections // self.components.fleet_size.count,
            self.route.kind is RouteKind.STREAM,
            self.shared_parts,
            self.accepted.pool.runs_models,
            permit,
        ) as attempt:
            self.current_attempt = attempt
            self.log.attempt_sent(
                server,
                self.components,
                metadata,
                self.attempts_not_run + self.runs,
                is_retry=bool(self.attempts_received),
                resumes=self.metadata.resumes,
            )
            sent_ms = self.components.clock.now_ms()
            outcome = await self.start(attempt, metadata)
            if outcome.reached_server:
                self.attempts_received += 1
            if outcome.kind is OutcomeKind.RESPONSE:
                elapsed_ms = self.components.clock.now_ms() - sent_ms
                self.prompt_reuse.record_processed(server, elapsed_ms)
                is_finished = await self.deliver(attempt, outcome)
                self.current_attempt = None
                return is_finished
            self.record_failure(attempt, outcome)
            self.current_attempt = None
            return False

    async def start(
        self, attempt: Attempt, metadata: ForwardingMetadata
    ) -> AttemptOutcome:
        """Start an attempt and tell the budget when a retry has arrived or was lost.

        After a silent attempt, which may be on its way, any further one may arrive first.
        """
        is_retry = bool(self.attempts_received)
        end = RetryEnd.MAY_ARRIVE
        try:
            outcome = await attempt.start(
                metadata,
                self.attempt_timeout_ms(),
                self.silence_timeout_ms(),
                lambda: self.longer_wait_ms(attempt),
            )
            self.any_silent |= outcome.kind is OutcomeKind.SILENT
            if not outcome.reached_server:
                end = RetryEnd.NOT_SENT
            elif not self.any_silent:
                end = RetryEnd.ARRIVED
            return outcome
        finally:
            self.log.responses_discarded(attempt.server, attempt.discarded)
            if is_retry:
                self.components.retry_budget.end_retry(self.accepted.pool.name, end)

    def forwarding_metadata(self, server: BackendServer) -> ForwardingMetadata:
        """Return the metadata that the router adds to an attempt."""
        account = self.accepted.account
        urgency = None
        if self.accepted.pool.runs_models:
            priority = effective_priority(self.route, account)
            urgency = min(BASE_URGENCY + priority, MAX_URGENCY)
        source = self.prompt_reuse.record_sent(server)
        return ForwardingMetadata(
            instance=server.instance,
            deadline_ms=max(self.remaining_ms(), 1),
            account=None if account is None else account.name,
            urgency=urgency,
            resume_after=self.last_event_id,
            fetch_from=None if source is None else source.address,
        )

    def attempt_timeout_ms(self) -> int:
        """Return how long to wait for data before another server is tried."""
        remaining_ms = max(self.remaining_ms(), 1)
        if not self.may_run_again():
            return remaining_ms
        return min(remaining_ms, self.silence_timeout_ms())

    def longer_wait_ms(self, attempt: Attempt) -> int:
        """Return how long to wait on for a silent server, 0 to leave it.

        It is left before the deadline only if the request can go on elsewhere now.
        """
        attempt.record_silence()
        remaining_ms = self.remaining_ms()
        if remaining_ms <= 0 or not self.may_run_again() or self.can_go_elsewhere():
            return 0
        return min(remaining_ms, self.silence_timeout_ms())

    def can_go_elsewhere(self) -> bool:
        """Return whether another server can take over from the present one now."""
        return (
            self.may_retry()
            and self.attempts_not_run < MAX_ATTEMPTS_NOT_RUN
            and not self.components.crash_guard.should_refuse(self.accepted.fingerprint)
            and not self.components.crashing_parts.holds_any(self.shared_parts)
            and has_reachable_server(
                self.components,
                self.accepted.pool,
                self.tried_instances | self.without_permit,
                self.continuity.software_version,
            )
        )

    def silence_timeout_ms(self) -> int:
        """Return the time without data after which a response is taken for lost."""
        min_timeout_ms = MIN_RETRY_TIMEOUT_MS
        if self.route.kind is RouteKind.STREAM:
            min_timeout_ms = MIN_RESUME_TIMEOUT_MS
        timeout_ms = RETRY_TIMEOUT_FACTOR * max(
            self.route.objective_ms, self.route.gap_ms
        )
        return max(int(timeout_ms), min_timeout_ms)

    def record_failure(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Count and log an attempt that ended without a response."""
        if outcome.may_have_run:
            self.runs += 1
        else:
            self.attempts_not_run += 1
        if outcome.kind is OutcomeKind.SILENT:
            attempt.record_silence()
        elif outcome.kind is OutcomeKind.FAULTY:
            attempt.record_result(AttemptResult.FAILED)
        self.log.attempt_ended(attempt.server, outcome.kind, outcome.detail)

    # Delivery of the response

    async def deliver(self, attempt: Attempt, outcome: AttemptOutcome) -> bool:
        """Deliver a response; return whether the request is finished."""
        head = outcome.head
        assert head is not None
        failed = head.status >= MIN_SERVER_ERROR_STATUS
        attempt.record_result(
            AttemptResult.FAILED if failed else AttemptResult.ANSWERED
        )
        successful = head.status // 100 == SUCCESS_STATUS_CLASS
        # A stream that has begun can only continue with events.
        is_unfit = self.response.started and not attempt.received.is_stream
        if (failed and self.may_retry()) or is_unfit:
            self.runs += 1
            detail = f"status {head.status}"
            if successful:
                detail += f", {head.media_type or 'no body'} inside a stream"
            self.log.attempt_ended(attempt.server, OutcomeKind.FAULTY, detail)
            return False
        if self.route.kind is RouteKind.STREAM and successful:
            return await self.deliver_stream(attempt, head)
        return await self.deliver_buffered(attempt, head)

    def may_run_again(self) -> bool:
        """Return whether the route allows another run after the next one."""
        return self.route.repeatable and self.runs + 1 < self.route.max_attempts

    def may_retry(self) -> bool:
        """Return whether a retry may follow an attempt that may have run."""
        return (
            self.may_run_again()
            and self.remaining_ms() >= MIN_ATTEMPT_TIME_MS
            and self.components.retry_budget.remaining(self.accepted.pool.name) >= 1
        )

    async def next_part(
        self, attempt: Attempt, timeout_ms: int
    ) -> BodyPart | Broken | None:
        """Return the next part of a response, see ``Attempt.next_part``.

        Raise ``TimeoutError`` also if the response goes on after the deadline.
        """
        if self.remaining_ms() < -LATE_DELIVERY_MS:
            raise TimeoutError
        return await attempt.next_part(max(timeout_ms, 1))

    async def deliver_buffered(self, attempt: Attempt, head: ResponseHead) -> bool:
        """Send the response when it is complete, or as it arrives if it is large."""
        buffered = bytearray()
        while True:
            try:
                part = await self.next_part(attempt, self.remaining_ms())
            except TimeoutError:
                part = Broken("deadline passed before the response was complete")
            if isinstance(part, Broken):
                return self.handle_broken_response(attempt, part.detail)
            if part is None:
                break
            buffered += part.data
            is_large = len(buffered) > MAX_BUFFERED_RESPONSE_BYTES
            if is_large and not self.may_begin_incomplete():
                self.give_up(GiveUpReason.STOPPING)
                return True
            if is_large or self.response.started:
                self.begin_response(head, head.content_length)
                await self.response.write(bytes(buffered))
                buffered.clear()
        self.begin_response(head, len(buffered) if not self.response.started else None)
        await self.response.write_last(bytes(buffered))
        self.record_delivered(attempt, head)
        return True

    def may_begin_incomplete(self) -> bool:
        """Return whether the response may begin before it is complete."""
        return (
            self.response.started
            or self.components.stop_schedule.may_begin_incomplete(
                self.accepted.taken_ms, self.deadline_at_ms
            )
        )

    async def deliver_stream(self, attempt: Attempt, head: ResponseHead) -> bool:
        """Relay a stream without a declared length, since it may still break off."""
        if not self.route.resumable:
            return await self.deliver_passthrough(attempt, head)
        if not attempt.received.is_stream:
            return await self.deliver_buffered(attempt, head)
        while True:
            try:
                part = await self.next_part(attempt, self.attempt_timeout_ms())
            except TimeoutError:
                if self.longer_wait_ms(attempt):
                    continue
                part = Broken("stream sent no data before the timeout")
            if isinstance(part, Broken):
                return self.handle_broken_response(attempt, part.detail)
            if part is None:
                break
            new_events = bytearray()
            for event in part.events:
                if is_after(event.event_id, self.last_event_id):
                    new_events += event.data
                    self.last_event_id = event.event_id or self.last_event_id
            if new_events:
                self.continuity.record_first_event(attempt.server, self.remaining_ms())
                self.begin_response(head, None)
                await self.response.write(bytes(new_events))
        self.begin_response(head, None)
        await self.response.write_last(attempt.received.rest())
        self.record_delivered(attempt, head)
        return True

    async def deliver_passthrough(self, attempt: Attempt, head: ResponseHead) -> bool:
        """Relay a stream that cannot be resumed at another server."""
        while True:
            try:
                part = await self.next_part(attempt, self.remaining_ms())
            except TimeoutError:
                part = Broken("deadline passed before the stream ended")
            if isinstance(part, Broken):
                return self.handle_broken_response(attempt, part.detail)
            if part is None:
                break
            self.begin_response(head, None)
            await self.response.write(part.data)
        self.begin_response(head, None)
        self.response.end()
        self.record_delivered(attempt, head)
        return True

    def begin_response(self, head: ResponseHead, content_length: int | None) -> None:
        """Send the response head unless it was sent already.

        A response to HEAD states the length that the body would have.
        """
        if self.accepted.request.method == b"HEAD":
            content_length = head.content_length
        if not self.response.started:
            headers = self.components.dialect.client_headers(head)
            self.response.begin(head.status, head.reason, headers, content_length)
            self.log.response_started()

    def record_delivered(self, attempt: Attempt, head: ResponseHead) -> None:
        """Record and log a complete response and how its end was told."""
        successful = head.status // 100 == SUCCESS_STATUS_CLASS
        if successful:
            now_ms = self.components.clock.now_ms()
            duration_ms = now_ms - self.accepted.request.received_ms
            self.components.durations.record(self.route.name, duration_ms)
        crashing_parts = self.components.crashing_parts
        if successful and crashing_parts.record_success(self.shared_parts):
            self.components.on_parts_changed()
        self.log.response_delivered(head.status, attempt.server, attempt.received)

    def handle_broken_response(self, attempt: Attempt, detail: str) -> bool:
        """Handle an incomplete response; return whether the request is finished.

        A resumable stream that has begun continues at another server.
        """
        self.runs += 1
        self.log.response_broken(attempt.server, detail, attempt.received)
        resumable = (
            self.route.kind is RouteKind.STREAM
            and self.route.resumable
            and attempt.received.is_stream
        )
        if self.response.started and not resumable:
            self.log.response_truncated(detail)
            return True
        return False

    def retry_after_ms(self, reason: GiveUpReason) -> int:
        """Return the time after which a refused client may return."""
        retry_after_ms = RETRY_AFTER_MS
        if reason is GiveUpReason.SERVER_LIMITS:
            told_ms = self.components.permits.retry_after_ms.get(
                self.accepted.pool.name, 0
            )
            retry_after_ms = max(retry_after_ms, told_ms)
        if reason is GiveUpReason.SERVERS_REST:
            rest_ms = self.rest_left_ms()
            retry_after_ms = max(retry_after_ms, rest_ms)
            return retry_after_ms + self.components.random.randrange(
                max(min(rest_ms, MAX_REST_JITTER_MS), RETRY_AFTER_JITTER_MS)
            )
        return retry_after_ms + self.components.random.randrange(RETRY_AFTER_JITTER_MS)

    def rest_left_ms(self) -> int:
        """Return when the first server that rests takes requests again, 0 without one."""
        rests_ms = [
            self.components.notices.rest_left_ms(server.start)
            for server in self.components.servers.ready(self.accepted.pool.name)
        ]
        return min((rest_ms for rest_ms in rests_ms if rest_ms), default=0)

    def give_up(self, reason: GiveUpReason) -> None:
        """Refuse the request, or truncate its response if it has begun.

        It is told whether it may have run, also by an attempt that is not over.
        """
        if reason is GiveUpReason.STOPPING:
            schedule = self.components.stop_schedule
            since_ms = schedule.since_ms(self.accepted.taken_ms) or 0
            self.log.ended_by_stop(self.stage, since_ms)
        if self.response.started:
            self.log.response_truncated(reason)
            return
        retry_after_ms = 0
        if self.stage is RequestStage.WAITING:
            status = 503
            retry_after_ms = self.retry_after_ms(reason)
        else:
            status = 504 if reason in TIMEOUT_REASONS else 502
        send_refusal(
            self.components.dialect,
            self.response,
            status,
            reason,
            self.metadata.request_id,
            retry_after_ms,
        )
        self.log.request_refused(status, reason, retry_after_ms / MS_PER_S)
