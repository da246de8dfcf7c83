"""One attempt of a request at one server."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .coordination.server_health import AttemptResult
from .parts import RouterParts
from .protocol.requests import ClientRequest, ForwardingMetadata, Headers, ResponseHead
from .protocol.servers import BackendServer
from .transport.exchange import Broken, Data, Exchange, RawHead
from .transport.server_connections import NoConnectionLeft

MISDIRECTED = 421
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a client that its request did not run and never will."""


class Ended(StrEnum):
    """How an attempt ended, or that its answer begins."""

    ANSWER = "answer"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    NO_CONNECTION = "no-connection"
    BROKEN = "broken"
    SILENT = "silent"
    FAULTY = "faulty"


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """What is known after the head of the answer, or at the end without one."""

    ended: Ended
    detail: str = ""
    head: ResponseHead | None = None

    @property
    def reached_server(self) -> bool:
        """Whether a server got the request, run or not."""
        return self.ended not in (Ended.NOT_SENT, Ended.NO_CONNECTION)

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request."""
        return self.reached_server and self.ended is not Ended.NOT_RUN


class Attempt:
    """Sends a request to a server and hands out the events of its answer.

    Used as a context manager, it counts as load while it is open and leaves no
    exchange behind.
    """

    def __init__(
        self,
        parts: RouterParts,
        server: BackendServer,
        request: ClientRequest,
        request_id: str,
        fingerprint: int,
        connection_limit: int,
    ) -> None:
        self.parts = parts
        self.server = server
        self.request = request
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.connection_limit = connection_limit
        self.exchange: Exchange | None = None
        self.head: ResponseHead | None = None
        self.number = 0

    def __enter__(self) -> "Attempt":
        self.parts.load.begin_attempt(self.server.instance)
        return self

    def __exit__(self, *_: object) -> None:
        self.parts.load.end_attempt(self.server.instance)
        if self.exchange is None:
            return
        self.parts.health.record_ended(self.server.instance, self.number)
        connection = self.exchange.connection
        if self.exchange.finished:
            idle_ms = self.head.keep_alive_ms if self.head is not None else None
            self.parts.connections.release(self.server, connection, idle_ms)
        else:
            connection.release()
            connection.abort()

    async def start(
        self, metadata: ForwardingMetadata, timeout_ms: int
    ) -> AttemptOutcome:
        """Send the request and wait for the head of the answer."""
        try:
            connection = await self.parts.connections.acquire(
                self.server, self.connection_limit
            )
        except NoConnectionLeft as error:
            return AttemptOutcome(Ended.NO_CONNECTION, error.message)
        except TransportError as error:
            self.observe(AttemptResult.UNREACHABLE)
            self.note_down()
            return AttemptOutcome(Ended.NOT_SENT, error.message)
        try:
            self.exchange = connection.start(
                self.payload(metadata),
                belongs=self.belongs,
                head_request=self.request.method == b"HEAD",
            )
        except TransportError as error:
            return AttemptOutcome(Ended.NOT_SENT, error.message)
        self.number = self.parts.health.record_sent(self.server.instance)
        return await self.read_head(timeout_ms)

    def payload(self, metadata: ForwardingMetadata) -> bytes:
        """Return the bytes of the request."""
        request = self.request
        head = b"%b %b HTTP/1.1\r\n" % (request.method, request.target)
        length = b""
        if request.body or request.method not in (b"GET", b"HEAD"):
            length = b"Content-Length: %d\r\n" % len(request.body)
        headers = self.parts.dialect.server_headers(request.headers, metadata)
        return b"".join((head, headers, length, b"\r\n", request.body))

    def belongs(self, headers: Headers) -> bool:
        """Whether an answer is that of this request, and not of an earlier one."""
        head = self.parts.dialect.parse_response(0, b"", headers)
        return head.request_id is None or head.request_id == self.request_id

    async def read_head(self, timeout_ms: int) -> AttemptOutcome:
        """Wait for the head and judge it."""
        assert self.exchange is not None
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                event = await self.exchange.next_event()
        except TimeoutError:
            return AttemptOutcome(Ended.SILENT, f"no answer in {timeout_ms} ms")
        if isinstance(event, Broken):
            self.note_broken()
            return AttemptOutcome(Ended.BROKEN, event.detail)
        assert isinstance(event, RawHead)
        self.parts.health.record_received(self.server.instance, self.number)
        self.head = self.parts.dialect.parse_response(
            event.status, event.reason, event.headers
        )
        return self.judge(self.head)

    def judge(self, head: ResponseHead) -> AttemptOutcome:
        """Distinguish refusals and faulty answers from the server's own answers."""
        if head.status == MISDIRECTED:
            self.observe(AttemptResult.REPLACED)
            self.note_down()
        if head.not_executed or head.status == MISDIRECTED:
            return AttemptOutcome(Ended.NOT_RUN, f"status {head.status}", head)
        if head.encoded:
            return AttemptOutcome(Ended.FAULTY, "encoded body", head)
        if not head.signed and head.status // 100 == 2:
            return AttemptOutcome(Ended.FAULTY, "answer without signature", head)
        if head.status in PROMISES:
            return AttemptOutcome(Ended.FAULTY, f"status {head.status}", head)
        return AttemptOutcome(Ended.ANSWER, head=head)

    async def next_event(self, timeout_ms: int) -> Data | Broken | None:
        """Return the next piece, the break, or None at the end of the answer.

        Raises ``TimeoutError`` if nothing comes in time.
        """
        assert self.exchange is not None
        if self.exchange.events:
            event = await self.exchange.next_event()
        else:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                event = await self.exchange.next_event()
        if isinstance(event, Broken):
            self.note_broken()
            return event
        self.parts.health.record_received(self.server.instance, self.number)
        return event if isinstance(event, Data) else None

    def observe(self, result: AttemptResult) -> None:
        """Record the result for the server's health."""
        if self.parts.health.record_result(self.server.instance, result):
            self.parts.on_avoided(self.server.instance, result)

    def note_broken(self) -> None:
        """Record that the connection was lost while the request may have been running."""
        self.observe(AttemptResult.BROKEN)
        self.parts.crash_detector.record_broken(self.fingerprint, self.server.instance)

    def note_down(self) -> None:
        """Record that the server does not accept connections.

        Kept ones may have gone silent with it.
        """
        self.parts.connections.close_idle(self.server.instance)
        strikes = self.parts.crash_detector.record_down(self.server.instance)
        if strikes:
            self.parts.on_strikes(strikes)
