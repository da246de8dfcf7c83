"""One attempt to get a response to a request from one server."""

import asyncio

from msgspec.structs import replace

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError
from medlarridge._internal.protocol.server_sent_events import (
    EVENT_STREAM_TYPE,
    EventSplitter,
)

from .attempt_outcome import AttemptOutcome, DiscardedResponse, OutcomeKind
from .components import RouterComponents
from .coordination.attempt_timing import AttemptTiming
from .coordination.memory_account import HeldAnswer
from .coordination.outstanding_work import HeldWork
from .coordination.server_health import AttemptResult
from .protocol.requests import (
    ClientRequest,
    ForwardingMetadata,
    Framing,
    Headers,
    ResponseHead,
)
from .protocol.servers import BackendServer, ServerState
from .received_body import MAX_EVENT_BYTES, BodyPart, ReceivedBody
from .send_permits import Permit, end_on_arrival
from .server_crashes import record_server_down
from .transport.http_connection import (
    STATUSES_WITHOUT_BODY,
    Broken,
    ConnectionRefused,
    Data,
    Exchange,
    HttpConnection,
    RawResponseHead,
)
from .transport.server_connections import ConnectionLimitReached

SUCCESS_STATUS_CLASS = 2
MISDIRECTED_REQUEST = 421
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a client that its request did not run and never will. A server's
response with one of them is not passed on."""

BEGIN_MS = 1_000
"""Time from the first bytes of a response after which its prompt no longer crashes the
server: a server crashes as it begins to answer."""


class Attempt:
    """Sends a request to a server and returns the events of its response.

    ``shared_parts`` are the keys of the prompt's parts that other requests may share.
    ``asks_reports`` tells that the server is one of models, which report their state.
    ``permit`` is needed if the server names a limit or is cold. ``fetch_source`` is the
    server from which this one is told to fetch cached parts. ``held_work`` is what the request holds
    at the server, None if that is not counted, and ``timing`` observes the server, None
    if its capacity is not learned.
    An attempt counts as load of the server while it is open; its end, also as a context
    manager, releases or closes its connection. ``refused`` tells that the server has not
    run the request, and ``lost_response`` that what came names no request and may belong
    to an earlier one.
    """

    def __init__(
        self,
        components: RouterComponents,
        server: BackendServer,
        request: ClientRequest,
        request_id: str,
        fingerprint: int,
        connection_limit: int,
        expects_stream: bool,
        shared_parts: tuple[str, ...] = (),
        asks_reports: bool = False,
        permit: Permit | None = None,
        timing: AttemptTiming | None = None,
    ) -> None:
        self.components = components
        self.server = server
        self.request = request
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.connection_limit = connection_limit
        self.expects_stream = expects_stream
        self.shared_parts = shared_parts
        self.asks_reports = asks_reports
        self.permit = permit
        self.held_work: HeldWork | None = None
        self.fetch_source: BackendServer | None = None
        self.timing = timing
        self.first_bytes_ms: int | None = None
        self.exchange: Exchange | None = None
        self.head: ResponseHead | None = None
        self.discarded: list[DiscardedResponse] = []
        self.head_timeout: asyncio.Timeout | None = None
        self.unnamed_wait_ms = 0
        self.attempt_number = 0
        self.sent_ms = 0
        self.was_silent = False
        self.is_open = False
        self.refused = False
        self.lost_response = False
        self.received = ReceivedBody()
        self.held_event = HeldAnswer(components.memory)

    @property
    def was_sent(self) -> bool:
        """Return whether the request was sent to the server."""
        return self.exchange is not None

    @property
    def may_have_run(self) -> bool:
        """Return whether the server may have run the request."""
        return self.was_sent and not self.refused

    @property
    def is_broken(self) -> bool:
        """Return whether the connection has failed and this is the next event."""
        return (
            self.exchange is not None
            and bool(self.exchange.events)
            and isinstance(self.exchange.events[0], Broken)
        )

    @property
    def has_unread(self) -> bool:
        """Return whether more has come of the response that was not taken."""
        return self.exchange is not None and bool(self.exchange.events)

    @property
    def has_data(self) -> bool:
        """Return whether bytes of the body have come that were not taken."""
        return (
            self.exchange is not None
            and bool(self.exchange.events)
            and isinstance(self.exchange.events[0], Data)
        )

    def __enter__(self) -> "Attempt":
        self.open()
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def open(self) -> None:
        """Begin to count as load of the server."""
        self.is_open = True
        self.components.load.begin_attempt(self.server.instance)

    def close(self) -> None:
        """End the attempt, unless that was done before."""
        if not self.is_open:
            return
        self.is_open = False
        if self.timing is not None:
            self.timing.close()
        self.received.drop()
        self.held_event.release()
        self.components.load.end_attempt(self.server.instance)
        if self.held_work is not None:
            self.components.outstanding.end(self.held_work)
        if self.exchange is None:
            if self.permit is not None:
                self.permit.end(sent=False)
            return
        self.components.health.record_ended(self.server.instance, self.attempt_number)
        connection = self.exchange.connection
        if self.exchange.finished:
            keep_alive_ms = self.head.keep_alive_ms if self.head is not None else None
            self.components.connections.release(self.server, connection, keep_alive_ms)
        else:
            connection.release()
            connection.abort()

    async def start(
        self,
        metadata: ForwardingMetadata,
        timeout_ms: int,
        unnamed_wait_ms: int,
    ) -> AttemptOutcome:
        """Send the request and wait for the response head.

        After a response that names no request and may be to an earlier one, wait for
        ``unnamed_wait_ms`` at most.
        """
        self.unnamed_wait_ms = unnamed_wait_ms
        try:
            connection = await self.connect()
        except ConnectionLimitReached as error:
            return AttemptOutcome(OutcomeKind.NO_CONNECTION, error.message)
        except TransportError as error:
            self.record_result(AttemptResult.UNREACHABLE)
            ended = isinstance(error, ConnectionRefused)
            if ended:
                self.components.cold_servers.record_closed(self.server)
            record_server_down(self.components, self.server.instance, ended=ended)
            return AttemptOutcome(OutcomeKind.NOT_SENT, error.message)
        if not self.may_send():
            self.components.connections.release(self.server, connection, None)
            return AttemptOutcome(OutcomeKind.NOT_SENT, "server takes no request now")
        try:
            self.exchange = connection.start(
                self.request_head(self.without_late_fetch(metadata)),
                matches_request=self.matches_request,
                is_head_request=self.request.method == b"HEAD",
                body=self.request.body,
            )
        except TransportError as error:
            return AttemptOutcome(OutcomeKind.NOT_SENT, error.message)
        self.sent_ms = self.components.clock.now_ms()
        self.attempt_number = self.components.health.record_sent(
            self.server.instance, self.server.pool, lambda: self.has_unread
        )
        if self.timing is not None:
            self.timing.begin()
        if self.permit is not None and self.permit.ends_on_arrival:
            end_on_arrival(self.permit, connection)
        return await self.read_head(timeout_ms)

    async def connect(self) -> HttpConnection:
        """Return a connection, a new one if the server does not name requests."""
        connections = self.components.connections
        if self.components.health.names_requests(self.server.instance):
            return await connections.acquire(self.server, self.connection_limit)
        return await connections.open(self.server, self.connection_limit)

    def may_send(self) -> bool:
        """Return whether the server takes this request now.

        It may have asked for rest or named a limit since it was selected, and a permit
        does not last. Its data centre may have been evacuated.
        """
        if not self.components.evacuations.accepts(self.server.data_centre):
            return False
        if not self.components.notices.accepts(self.server.start):
            return False
        if not self.components.permits.is_needed(self.server):
            return True
        return (
            self.permit is not None
            and self.components.clock.now_ms() <= self.permit.expires_ms
        )

    def without_late_fetch(self, metadata: ForwardingMetadata) -> ForwardingMetadata:
        """Return the metadata without a source from which nothing may be fetched now.

        Its data centre may have been evacuated while a connection was opened.
        """
        source = self.fetch_source
        if source is None or self.components.evacuations.may_fetch_from(
            source.data_centre
        ):
            return metadata
        return replace(metadata, fetch_from=None)

    def request_head(self, metadata: ForwardingMetadata) -> bytes:
        """Return the encoded head of the request."""
        request = self.request
        head = b"%b %b HTTP/1.1\r\n" % (request.method, request.target)
        length = b""
        if request.body or request.method not in (b"GET", b"HEAD"):
            length = b"Content-Length: %d\r\n" % len(request.body)
        headers = self.components.dialect.server_headers(request.headers, metadata)
        return b"".join((head, headers, length, b"\r\n"))

    def matches_request(self, headers: Headers) -> bool:
        """Return whether a response is to this request and not to an earlier one.

        One that names no request is to the only one that its connection has carried.
        """
        assert self.exchange is not None
        named = self.components.dialect.parse_response(0, b"", headers).request_id
        earlier = self.exchange.connection.responses
        if named == self.request_id or (named is None and not earlier):
            return True
        self.discarded.append(DiscardedResponse(named, earlier))
        if named is None:
            self.shorten_wait()
        return False

    def shorten_wait(self) -> None:
        """Bound the wait for a response, as that of a server without IDs has passed."""
        timeout = self.head_timeout
        if timeout is None or timeout.expired():
            return
        end_s = asyncio.get_running_loop().time() + self.unnamed_wait_ms / MS_PER_S
        timeout.reschedule(min(end_s, timeout.when() or end_s))

    async def read_head(self, timeout_ms: int) -> AttemptOutcome:
        """Wait for the response head and classify it.

        After a time-out, the head may still be waited for by another call, unless the
        response is lost.
        """
        assert self.exchange is not None
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S) as self.head_timeout:
                event = await self.exchange.next_event()
        except TimeoutError:
            if any(each.request_id is None for each in self.discarded):
                self.lost_response = True
                self.record_unnamed()
                return AttemptOutcome(
                    OutcomeKind.SILENT, "no response after one that names no request"
                )
            waited_ms = self.components.clock.now_ms() - self.sent_ms
            return AttemptOutcome(
                OutcomeKind.SILENT, f"no response within {waited_ms} ms"
            )
        if isinstance(event, Broken):
            self.record_broken(event)
            return AttemptOutcome(OutcomeKind.BROKEN, event.detail)
        assert isinstance(event, RawResponseHead)
        self.components.health.record_received(
            self.server.instance, self.attempt_number
        )
        self.head = self.components.dialect.parse_response(
            event.status, event.reason, event.headers
        )
        if self.head.request_id is None:
            self.exchange.connection.must_close = True
            self.record_unnamed()
        self.received.framing = event.framing
        if self.permit is not None:
            self.permit.end(sent=True)
        self.components.notices.record(
            self.server.start, self.head.notice, self.sent_ms
        )
        if self.head.load is not None:
            self.components.capacity.record_load(self.server, self.head.load)
        self.components.cold_servers.record_response(
            self.server.start, self.head.cold_ms, self.sent_ms
        )
        if self.is_event_stream(self.head):
            self.received.splitter = EventSplitter()
        return self.classify_head(self.head)

    async def wait_for_news(self) -> None:
        """Wait until there is more of the response, or its connection has failed."""
        assert self.exchange is not None
        await self.exchange.wait()

    def is_event_stream(self, head: ResponseHead) -> bool:
        """Return whether the body is a stream of events.

        A response without a media type has the type that the route promises.
        """
        if (
            head.status // 100 != SUCCESS_STATUS_CLASS
            or head.status in STATUSES_WITHOUT_BODY
        ):
            return False
        if head.media_type is None:
            return self.expects_stream
        return head.media_type == EVENT_STREAM_TYPE

    def classify_head(self, head: ResponseHead) -> AttemptOutcome:
        """Tell refusals and faulty responses from responses that may be delivered."""
        if head.status == MISDIRECTED_REQUEST:
            self.record_result(AttemptResult.REPLACED)
            self.components.cold_servers.record_closed(self.server)
            record_server_down(self.components, self.server.instance)
        if head.not_executed or head.status == MISDIRECTED_REQUEST:
            self.refused = True
            if head.status != MISDIRECTED_REQUEST and not head.notice.leaving:
                self.components.capacity.record_not_run(self.server)
            return AttemptOutcome(OutcomeKind.NOT_RUN, f"status {head.status}", head)
        if head.encoded:
            return AttemptOutcome(OutcomeKind.FAULTY, "content-encoded body", head)
        if not head.signed and head.status // 100 == SUCCESS_STATUS_CLASS:
            return AttemptOutcome(
                OutcomeKind.FAULTY, "response without signature", head
            )
        if head.status in NOT_EXECUTED_STATUSES:
            return AttemptOutcome(OutcomeKind.FAULTY, f"status {head.status}", head)
        return AttemptOutcome(OutcomeKind.RESPONSE, head=head)

    async def next_part(self, timeout_ms: int) -> BodyPart | Broken | None:
        """Return the next bytes, a ``Broken`` event, or None at the end of the response.

        A stream that ends inside an event is broken, however it is framed, and so is a
        body that ends with its server. Raise ``TimeoutError`` if nothing arrives in time.
        """
        assert self.exchange is not None
        if self.timing is not None:
            self.timing.resume_read()
        if self.exchange.events:
            event = await self.exchange.next_event()
        else:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                event = await self.exchange.next_event()
        if isinstance(event, Broken):
            self.record_broken(event)
            return event
        self.components.health.record_received(
            self.server.instance, self.attempt_number
        )
        if isinstance(event, Data):
            if self.first_bytes_ms is None:
                self.first_bytes_ms = self.components.clock.now_ms()
            part = self.received.add(event.data)
            if self.timing is not None:
                self.timing.add_events(self.received.events)
            self.held_event.set(self.received.incomplete_bytes)
            excess = self.received.excess()
            if excess is not None:
                self.record_result(AttemptResult.MALFORMED, excess)
                return Broken(excess, malformed=True)
            limit_bytes = self.components.memory.answer_limit(MAX_EVENT_BYTES)
            if self.held_event.size > limit_bytes:
                self.record_result(AttemptResult.FAILED)
                return Broken("event is too long for the memory that is free")
            return part
        truncation = self.received.truncation()
        if truncation is None and await self.ended_with_server():
            truncation = "connection was closed and the server does not answer"
        if truncation is None:
            self.components.health.record_whole(
                self.server.instance, self.attempt_number
            )
            if self.timing is not None and self.head is not None:
                self.timing.end(
                    self.head.status // 100 == SUCCESS_STATUS_CLASS,
                    self.received.is_stream,
                )
            return None
        broken = Broken(truncation, self.received.framing is Framing.CLOSE)
        self.record_broken(broken)
        return broken

    async def ended_with_server(self) -> bool:
        """Return whether a body without length or chunks ended with its server.

        The operating system closes the connections of a process that crashes or exits,
        so the body may be incomplete. A model server must answer on another connection,
        and must not have started again: a router that stood still asks late.
        """
        if self.received.framing is not Framing.CLOSE:
            return False
        connections = self.components.connections
        may_ask = (
            self.components.evacuations.accepts(self.server.data_centre)
            and self.components.notices.accepts(self.server.start)
            and not self.components.permits.is_needed(self.server)
        )
        if self.asks_reports and may_ask:
            dialect = self.components.dialect
            if await connections.is_serving(
                self.server,
                self.connection_limit,
                dialect.report_path,
                dialect.report_headers(self.server.instance),
                dialect.parse_report_start,
            ):
                return False
        elif not await connections.is_refused(self.server, self.connection_limit):
            return False
        self.record_result(AttemptResult.UNREACHABLE)
        self.components.cold_servers.record_closed(self.server)
        record_server_down(self.components, self.server.instance)
        return True

    def record_unnamed(self) -> None:
        """Record that the server does not name requests; keep no connection to it."""
        self.components.health.record_unnamed(self.server.instance)
        self.components.connections.close_idle(self.server.instance)

    def record_result(self, result: AttemptResult, cause: str = "") -> None:
        """Record the result in the health of the server."""
        instance = self.server.instance
        if self.components.health.record_result(instance, result, cause):
            self.components.on_server_avoided(self.server.instance, result)

    def record_silence(self) -> None:
        """Record, once for the attempt, that the server was silent for too long."""
        if not self.was_silent:
            self.was_silent = True
            self.record_result(AttemptResult.FAILED)

    def record_broken(self, broken: Broken) -> None:
        """Record that the connection was lost while the request may have run."""
        if broken.malformed:
            self.record_result(AttemptResult.MALFORMED, broken.detail)
        else:
            self.record_result(AttemptResult.BROKEN)
        if broken.ended_by_server:
            self.components.cold_servers.record_closed(self.server)
        crashed = broken.ended_by_server and self.may_have_crashed()
        parts = self.shared_parts if crashed else ()
        self.components.crash_detector.record_broken(
            self.fingerprint, self.server.instance, parts, self.server.start
        )
        may_probe = self.components.evacuations.accepts(self.server.data_centre)
        if parts and may_probe:
            self.components.crash_probes.start(self.server, self.connection_limit)

    def may_have_crashed(self) -> bool:
        """Return whether the server may have crashed under this attempt.

        A server that drains or says that it leaves ends by itself.
        """
        if self.components.notices.is_leaving(self.server.start):
            return False
        entry = self.components.servers.by_instance.get(self.server.instance)
        if entry is None or entry.state is not ServerState.READY:
            return False
        return (
            self.first_bytes_ms is None
            or self.components.clock.now_ms() - self.first_bytes_ms <= BEGIN_MS
        )
