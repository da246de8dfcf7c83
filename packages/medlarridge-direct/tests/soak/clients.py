"""Clients of the soak, which keep connections open and check each response."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import replace
from random import Random

import h11

from medlarridge_platform import names

from .content import (
    CRASHING_PART,
    response_body,
    stream_event,
    stream_event_count,
)
from .http_connection import ConnectionClosed, HttpConnection
from .processes import monotonic_s
from .request_records import RequestKind, SentRequest

CONNECT_TIMEOUT_S = 1.0


class Client:
    """Sends requests over one connection, which it reuses as long as possible."""

    def __init__(
        self,
        name: str,
        random: Random,
        history: list[SentRequest],
        start_number: Callable[[int], int] = lambda router: 0,
    ) -> None:
        self.name = name
        self.random = random
        self.history = history
        self.start_number = start_number
        self.process = 0
        self.connection: HttpConnection | None = None
        self.router = -1
        self.count = 0

    async def send_request(
        self,
        router: int,
        address: tuple[str, int],
        kind: RequestKind,
        key: str,
        account: str,
        disconnect_after_s: float | None = None,
        prefix: str | None = None,
        crashes: bool = False,
        idle_s: float = 0.0,
    ) -> SentRequest:
        """Send a request, over the open connection if it leads to the same router.

        The prompt of a request that ``crashes`` has a part under which servers crash.
        A new connection is idle for ``idle_s`` first.
        """
        self.count += 1
        request_id = f"{self.name}-{self.count:04d}"
        session = self.random.randrange(6)
        parts = [f"aa{session % 2}:300", f"bb{session}:900"]
        if crashes:
            parts.insert(self.random.randrange(3), f"{CRASHING_PART.decode()}:200")
        prompt = ",".join([*parts, f"{request_id}:40"])
        request = SentRequest(
            request_id=request_id,
            router=router,
            kind=kind,
            method=kind.method,
            target=f"{prefix or kind.prefix}{session}?n={self.count}",
            body=b"x" * self.random.randrange(400) if kind.method == b"POST" else b"",
            account=account,
            prompt=prompt if kind.stream else "",
            sent_s=monotonic_s(),
            kept=self.connection is not None and self.router == router,
            owed=not crashes,
        )
        self.history.append(request)
        await self.run_exchange(request, address, key, disconnect_after_s, idle_s)
        return request

    async def run_exchange(
        self,
        request: SentRequest,
        address: tuple[str, int],
        key: str,
        disconnect_after_s: float | None,
        idle_s: float = 0.0,
    ) -> None:
        """Send a request and record how its exchange ended."""
        try:
            async with asyncio.timeout(request.kind.deadline_ms / 1000 + 2):
                await self.exchange(request, address, key, disconnect_after_s, idle_s)
        except asyncio.CancelledError:
            request.left = True
            raise
        except TimeoutError:
            request.lost = "no complete response within the deadline"
        except (ConnectionClosed, OSError) as error:
            request.lost = request.lost or f"connection lost: {error}"
        except h11.RemoteProtocolError as error:
            request.lost = f"invalid response: {error}"
            request.violations.append(f"MIXED: invalid HTTP response: {error}")
        finally:
            request.ended_s = monotonic_s()
            if not request.complete or request.left:
                self.close()

    async def take_up(
        self,
        broken: SentRequest,
        router: int,
        address: tuple[str, int],
        key: str,
    ) -> SentRequest:
        """Ask for the rest of a stream that broke off, over a new connection."""
        self.close()
        self.count += 1
        request = replace(
            broken,
            request_id=f"{self.name}-{self.count:04d}",
            router=router,
            sent_s=monotonic_s(),
            written_s=float("inf"),
            kept=False,
            status=0,
            complete=False,
            first=broken.first or broken,
            after=broken.last_event,
            owed=False,
            lost="",
            violations=[],
        )
        self.history.append(request)
        await self.run_exchange(request, address, key, None)
        return request

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.writer.close()
            self.connection = None

    async def exchange(
        self,
        request: SentRequest,
        address: tuple[str, int],
        key: str,
        disconnect_after_s: float | None,
        idle_s: float = 0.0,
    ) -> None:
        """Send the request and read its response."""
        if not request.kept:
            self.close()
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
            self.connection, self.router = (
                HttpConnection(reader, writer, h11.CLIENT),
                request.router,
            )
            self.process = self.start_number(request.router)
            if idle_s:
                await asyncio.sleep(idle_s)
        request.process = self.process
        connection = self.connection
        assert connection is not None
        if connection.protocol.trailing_data[0]:
            request.violations.append(
                "MIXED: received bytes while no request was pending"
            )
        await connection.send(
            h11.Request(
                method=request.method,
                target=request.target.encode(),
                headers=self.headers(request, key),
            ),
            h11.Data(request.body),
            h11.EndOfMessage(),
        )
        request.written_s = monotonic_s()
        try:
            async with asyncio.timeout(disconnect_after_s):
                await self.read_response(connection, request)
        except TimeoutError:
            if disconnect_after_s is None:
                raise
            request.left = True

    def headers(self, request: SentRequest, key: str) -> list:
        """Return the request's headers."""
        headers = [
            (b"Host", b"soak.example"),
            (b"X-Medlarridge-Request-Id", request.request_id.encode()),
            (b"X-Medlarridge-Deadline-Ms", b"%d" % request.kind.deadline_ms),
            (b"Authorization", b"Bearer " + key.encode()),
            # Routers must replace this header; servers report the account they got.
            (b"X-Medlarridge-Tenant", b"somebody-else"),
        ]
        if request.body:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        elif request.method == b"POST":
            headers.append((b"Content-Length", b"0"))
        if request.first is not None:
            headers += [
                (names.RESUME_AFTER, b"%d" % request.after),
                (names.RESUMES, request.stream_id.encode()),
            ]
        if request.prompt:
            headers += [
                (b"X-Medlarridge-Model", b"m"),
                (b"X-Medlarridge-Token-Usage", b"1240,80"),
                (b"X-Medlarridge-Prompt-Prefix", request.prompt.encode()),
            ]
        return headers

    async def read_response(
        self, connection: HttpConnection, request: SentRequest
    ) -> None:
        """Read the response; check that it is complete and belongs to the request."""
        head = await connection.next_event()
        if not isinstance(head, h11.Response):
            raise ConnectionClosed("closed before the response")
        request.status = head.status_code
        body = bytearray()
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise ConnectionClosed("closed within the response body")
            body += event.data
            self.check_partial_body(request, bytes(body))
        request.complete = True
        self.check_response(request, dict(head.headers), bytes(body))
        if (
            connection.protocol.our_state is h11.DONE
            and connection.protocol.their_state is h11.DONE
        ):
            connection.protocol.start_next_cycle()
        else:
            self.close()

    def expected_body(self, request: SentRequest) -> bytes:
        """Return the expected body of a successful response."""
        if not request.kind.has_body:
            return b""
        if not request.kind.stream:
            return response_body(request.request_id)
        events = range(request.after + 1, stream_event_count(request.stream_id) + 1)
        return b"".join(
            stream_event(request.stream_id, number, request.version)
            for number in events
        )

    def check_partial_body(self, request: SentRequest, body: bytes) -> None:
        """Check the part of a successful response's body received so far."""
        if request.status == 200 and request.kind.stream:
            record_events(request, comparable_body(body))
            if not request.version:
                return
        expected = self.expected_body(request)
        if request.status == 200 and not expected.startswith(comparable_body(body)):
            rule = "ORDER" if request.kind.stream else "MIXED"
            request.violations.append(
                f"{rule}: body differs from the expected response"
            )

    def check_response(self, request: SentRequest, headers: dict, body: bytes) -> None:
        """Check a complete response."""
        if headers.get(names.REQUEST_ID, b"").decode() not in ("", request.request_id):
            request.violations.append("MIXED: response to another request")
        if request.status != request.kind.success_status:
            return
        length = len(response_body(request.request_id))
        if (
            request.method == b"HEAD"
            and headers.get(names.CONTENT_LENGTH) != b"%d" % length
        ):
            request.violations.append("MIXED: response to HEAD with another length")
        if names.SIGNATURE not in headers:
            request.violations.append(
                "MIXED: successful response without a server's signature"
            )
        if comparable_body(body) != self.expected_body(request):
            request.violations.append("MIXED: truncated body in a complete response")


def record_events(request: SentRequest, body: bytes) -> None:
    """Record the last whole event, and the version of a stream's first one."""
    numbers = [int(number) for number in re.findall(rb"id: (\d+)\ndata: .*\n\n", body)]
    request.last_event = numbers[-1] if numbers else request.after
    version = re.search(rb"@(\w+)\n", body)
    if version and not request.version:
        request.version = version[1].decode()


def comparable_body(body: bytes) -> bytes:
    """Return a body with LF as line end; servers of a stream may use others."""
    return body.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
