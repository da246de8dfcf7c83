"""Forwarding of one client request: delivery of the response, or the refusal."""

from msgspec.structs import replace

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.protocol.server_sent_events import (
    ID_FIELD,
    is_after,
    last_ascending_id,
    split_events,
)

from .attempt import SUCCESS_STATUS_CLASS, Attempt
from .components import RouterComponents
from .coordination.memory_account import READ_BYTES, HeldAnswer
from .logs import RequestLog
from .protocol.accepted_request import LATE_DELIVERY_MS, AcceptedRequest
from .protocol.configuration import RouteKind
from .protocol.requests import ResponseHead
from .received_body import BodyPart
from .refusals import send_refusal
from .request_attempts import (
    MIN_SERVER_ERROR_STATUS,
    GiveUpReason,
    RequestAttempts,
)
from .request_stage import RequestStage
from .transport.http_connection import Broken
from .transport.response_writer import ResponseWriter

RETRY_AFTER_MS = 400
RETRY_AFTER_JITTER_MS = 400
"""Delay after which a refused client may retry. The jitter keeps clients that were
refused together from retrying together."""

EVACUATED_RETRY_AFTER_MS = 2_000
"""Delay and its jitter while all data centres of a pool are evacuated. An operator takes
them back after minutes, and clients that return more often only load the routers."""

MAX_REST_JITTER_MS = 2_000
"""Longest time over which clients return after the rest of a server."""

MAX_BUFFERED_RESPONSE_BYTES = 1_048_576
"""Responses up to this size are sent only when complete, so that a broken one can still
be retried or replaced by an error."""

WRITE_PIECE_BYTES = 16_384
SLOW_WRITE_MS = 250
"""Pieces in which a large response is written, and the time from which its client counts as
slow. In one piece, 1 MiB at 60 KB/s kept the server waiting for 16 s."""

TIMEOUT_REASONS = frozenset(
    {GiveUpReason.DEADLINE, GiveUpReason.STOPPING, GiveUpReason.LATE}
)
"""Reasons for which the server was not waited for any longer."""


class RequestRun:
    """Forwards a request to servers until one of them delivers a response."""

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
        self.attempts = RequestAttempts(components, accepted, response, log)
        self.ended_by_stop = False
        self.held = HeldAnswer(components.memory)

    @property
    def stage(self) -> RequestStage:
        """Return how far the request has come."""
        if self.response.started:
            return RequestStage.BEGUN
        return RequestStage.SENT if self.attempts.runs else RequestStage.WAITING

    async def run(self) -> None:
        """Try servers until the response is delivered or the request is given up."""
        pool = await self.attempts.find_pool()
        if pool is None:
            self.give_up(GiveUpReason.UNKNOWN_STREAM)
            return
        self.accepted = replace(self.accepted, pool=pool)
        self.components.retry_budget.count_request(pool.name)
        try:
            begun: Attempt | GiveUpReason | None = await self.attempts.begin()
            while isinstance(begun, Attempt):
                begun = await self.deliver(begun)
        finally:
            self.attempts.close_all()
            self.held.release()
        if begun is not None:
            self.give_up(begun)

    async def deliver(self, attempt: Attempt) -> Attempt | GiveUpReason | None:
        """Deliver a response; return None once the request is finished.

        Otherwise return the attempt that goes on, or why the request is given up.
        """
        head = attempt.head
        assert head is not None
        successful = head.status // 100 == SUCCESS_STATUS_CLASS
        if self.route.kind is RouteKind.STREAM and successful:
            return await self.deliver_stream(attempt, head)
        return await self.deliver_buffered(attempt, head)

    async def next_part(
        self, attempt: Attempt, timeout_ms: int
    ) -> BodyPart | Broken | None:
        """Return the next part of a response, see ``Attempt.next_part``.

        Raise ``TimeoutError`` also if the response goes on after the deadline.
        """
        if self.attempts.remaining_ms() < -LATE_DELIVERY_MS:
            raise TimeoutError
        return await attempt.next_part(max(timeout_ms, 1))

    async def deliver_buffered(
        self, attempt: Attempt, head: ResponseHead
    ) -> Attempt | GiveUpReason | None:
        """Send the response when it is complete, or as it arrives if it is large.

        It counts as large sooner when memory is short.
        """
        buffered = bytearray()
        while True:
            try:
                part = await self.next_part(attempt, self.attempts.remaining_ms())
            except TimeoutError:
                part = Broken("deadline passed before the response was complete")
            if isinstance(part, Broken):
                return await self.go_on_after_break(attempt, part.detail)
            if part is None:
                break
            buffered += part.data
            self.held.set(len(buffered))
            is_large = len(buffered) > self.components.memory.answer_limit(
                MAX_BUFFERED_RESPONSE_BYTES
            )
            if is_large and not self.may_begin_incomplete():
                return GiveUpReason.STOPPING
            if is_large or self.response.started:
                self.begin_response(head, head.content_length)
                part = None
                await self.write_buffered(attempt, buffered)
        self.begin_response(head, len(buffered) if not self.response.started else None)
        await self.response.write_last(buffered)
        self.held.release()
        self.record_delivered(attempt, head)
        return None

    async def write_buffered(self, attempt: Attempt, buffered: bytearray) -> None:
        """Write what is buffered in pieces, and take it out of the buffer.

        While the client takes long, a part is left, so that the server is read on.
        """
        may_hold = len(buffered)
        began_ms = self.components.clock.now_ms()
        while buffered:
            piece = bytes(buffered[:WRITE_PIECE_BYTES])
            del buffered[:WRITE_PIECE_BYTES]
            await self.response.write(piece)
            self.held.set(len(buffered))
            if (
                self.components.clock.now_ms() - began_ms >= SLOW_WRITE_MS
                and len(buffered) <= may_hold - READ_BYTES
                and attempt.has_data
            ):
                return

    def may_begin_incomplete(self) -> bool:
        """Return whether the response may begin before it is complete."""
        return (
            self.response.started
            or self.components.stop_schedule.may_begin_incomplete(
                self.accepted.taken_ms, self.accepted.deadline_at_ms
            )
        )

    async def deliver_stream(
        self, attempt: Attempt, head: ResponseHead
    ) -> Attempt | GiveUpReason | None:
        """Relay a stream without a declared length, since it may still break off."""
        if not self.route.resumable:
            return await self.deliver_passthrough(attempt, head)
        if not attempt.received.is_stream:
            return await self.deliver_buffered(attempt, head)
        attempts = self.attempts
        while True:
            try:
                part = await self.next_part(attempt, attempts.wait_ms(attempt))
            except TimeoutError:
                successor = await attempts.find_successor(attempt)
                if successor is not None:
                    return self.move(attempt, successor)
                if attempts.remaining_ms() > 0:
                    continue
                part = Broken("stream sent no data before the timeout")
            if isinstance(part, Broken):
                return await self.go_on_after_break(attempt, part.detail)
            if part is None:
                break
            new_events = self.take_new_events(part)
            part = None
            if new_events:
                self.held.set(len(new_events))
                await attempts.continuity.record_first_event(
                    attempt.server, attempts.remaining_ms()
                )
                self.begin_response(head, None)
                await self.response.write(new_events)
                self.held.release()
        self.begin_response(head, None)
        await self.response.write_last(attempt.received.rest())
        self.record_delivered(attempt, head)
        return None

    def take_new_events(self, part: BodyPart) -> bytes:
        """Return the events of a part that the client does not have yet.

        Events without IDs and those whose IDs ascend are passed on together.
        """
        if ID_FIELD not in part.events:
            return part.events
        last_id = last_ascending_id(part.events, self.attempts.last_event_id)
        if last_id is not None:
            self.attempts.last_event_id = last_id
            return part.events
        new_events = []
        for event in split_events(part.events):
            if is_after(event.event_id, self.attempts.last_event_id):
                new_events.append(event.data)
                self.attempts.last_event_id = (
                    event.event_id or self.attempts.last_event_id
                )
        return b"".join(new_events)

    async def deliver_passthrough(
        self, attempt: Attempt, head: ResponseHead
    ) -> Attempt | GiveUpReason | None:
        """Relay a stream that cannot be resumed at another server."""
        while True:
            try:
                part = await self.next_part(attempt, self.attempts.remaining_ms())
            except TimeoutError:
                part = Broken("deadline passed before the stream ended")
            if isinstance(part, Broken):
                return await self.go_on_after_break(attempt, part.detail)
            if part is None:
                break
            self.begin_response(head, None)
            data, part = part.data, None
            self.held.set(len(data))
            await self.response.write(data)
            self.held.release()
        self.begin_response(head, None)
        self.response.end()
        self.record_delivered(attempt, head)
        return None

    def begin_response(self, head: ResponseHead, content_length: int | None) -> None:
        """Send the response head unless it was sent already.

        A response to HEAD states the length that the body would have.
        """
        if self.accepted.request.method == b"HEAD":
            content_length = head.content_length
        if not self.response.started:
            headers = self.components.dialect.client_headers(head)
            self.response.begin(head.status, head.reason, headers, content_length)
            if head.status < MIN_SERVER_ERROR_STATUS:
                self.attempts.admission.count_answer()
            self.log.response_started()

    def record_delivered(self, attempt: Attempt, head: ResponseHead) -> None:
        """Record and log a complete response and how its end was told."""
        successful = head.status // 100 == SUCCESS_STATUS_CLASS
        if successful:
            now_ms = self.components.clock.now_ms()
            duration_ms = now_ms - self.accepted.request.received_ms
            self.components.durations.record(self.route.name, duration_ms)
        if successful:
            self.record_output(attempt)
        crashing_parts = self.components.crashing_parts
        if successful and crashing_parts.record_success(self.attempts.shared_parts):
            self.components.on_parts_changed()
        self.log.response_delivered(head.status, attempt.server, attempt.received)

    def record_output(self, attempt: Attempt) -> None:
        """Record the output of a stream that came whole from one server."""
        if (
            attempt.held_work is not None
            and attempt.received.is_stream
            and len(self.attempts.made) == 1
            and self.metadata.resume_after is None
        ):
            self.components.outstanding.record_output(
                self.accepted.pool,
                self.metadata.max_output_tokens,
                attempt.received.events,
            )

    def move(self, silent: Attempt, successor: Attempt) -> Attempt:
        """Leave a silent server for another one that has begun to respond."""
        self.log.response_broken(
            silent.server, "silent while another server responded", silent.received
        )
        silent.close()
        return successor

    async def go_on_after_break(
        self, attempt: Attempt, detail: str
    ) -> Attempt | GiveUpReason | None:
        """Handle an incomplete response; return as ``deliver`` does.

        A resumable stream that has begun continues at another server.
        """
        self.log.response_broken(attempt.server, detail, attempt.received)
        attempt.close()
        resumable = (
            self.route.kind is RouteKind.STREAM
            and self.route.resumable
            and attempt.received.is_stream
        )
        if self.response.started and not resumable:
            self.log.response_truncated(detail)
            return None
        return await self.attempts.begin()

    def retry_after_ms(self, reason: GiveUpReason) -> int:
        """Return the time after which a refused client may return."""
        refusal = self.attempts.admission.refusal
        if refusal is not None and refusal.reason == reason:
            return refusal.retry_after_ms
        retry_after_ms = RETRY_AFTER_MS
        if reason is GiveUpReason.SERVER_LIMITS:
            told_ms = self.components.permits.retry_after_ms.get(
                self.accepted.pool.name, 0
            )
            retry_after_ms = max(retry_after_ms, told_ms)
        if reason is GiveUpReason.EVACUATED:
            jitter_ms = self.components.random.randrange(EVACUATED_RETRY_AFTER_MS)
            return EVACUATED_RETRY_AFTER_MS + jitter_ms
        if reason is GiveUpReason.SERVERS_REST:
            rest_ms = self.attempts.rest_left_ms()
            retry_after_ms = max(retry_after_ms, rest_ms)
            return retry_after_ms + self.components.random.randrange(
                max(min(rest_ms, MAX_REST_JITTER_MS), RETRY_AFTER_JITTER_MS)
            )
        return retry_after_ms + self.components.random.randrange(RETRY_AFTER_JITTER_MS)

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
        refusal = self.attempts.admission.refusal
        details = {}
        if refusal is not None and refusal.reason == reason:
            details = refusal.details
        self.log.request_refused(status, reason, retry_after_ms / MS_PER_S, **details)
