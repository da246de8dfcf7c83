"""Calls to the backend server of the sidecar."""

import anyio
import httpx

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.protocol.caller import CHAT_HEADER, HOP_BY_HOP_HEADERS
from medlarridge._internal.protocol.messages import Attempt, ResponseHead
from medlarridge._internal.protocol.server_sent_events import (
    EVENT_STREAM_TYPE,
    EventSplitter,
)

from .live_attempt import LiveAttempt
from .server_result import CallState, ServerResult

CONNECT_TIMEOUT_MS = 2_000
HTTP_PORT = 80
FIRST_BYTE_TRACE_STEP = "http11.send_request_headers.started"
"""Trace step that the HTTP client reports before the first byte of a request."""


class SendRefused(Exception):
    """The call must no longer be sent."""


class ResponseTruncated(Exception):
    """The server ended a response whose content is not whole."""


class ServerClient:
    """HTTP client of the backend server."""

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_MS / MS_PER_S)
        # Responses do not name their calls, so on a reused connection an earlier one
        # that the server repeats could not be told apart. A reused connection may also
        # turn out to be closed only after the call was written.
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        # With trust_env, proxy variables of the environment would redirect the calls.
        self.client = httpx.AsyncClient(timeout=timeout, limits=limits, trust_env=False)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def call(self, live: LiveAttempt, deadline_ms: int) -> ServerResult:
        """Call the server, write its response to the stream and return the result."""
        detail = "deadline passed"
        with anyio.move_on_after(deadline_ms / MS_PER_S):
            try:
                await self.exchange(live)
                return ServerResult(CallState.COMPLETE)
            except SendRefused:
                detail = "the right to run the call has lapsed"
            except (httpx.TransportError, ResponseTruncated) as error:
                detail = f"{type(error).__name__}: {error}"
            if live.maybe_sent:
                return ServerResult(CallState.BROKEN, f"server failed: {detail}")
        state = CallState.DEADLINE if live.maybe_sent else CallState.NEVER_SENT
        return ServerResult(state, detail)

    async def exchange(self, live: LiveAttempt) -> None:
        """Send the call and copy its response to the stream of the attempt."""
        attempt = live.attempt

        async def on_trace_step(step: str, info: object) -> None:
            if step == FIRST_BYTE_TRACE_STEP and not live.try_mark_sent():
                raise SendRefused

        async with self.client.stream(
            attempt.method,
            self.url + attempt.path,
            content=attempt.body,
            headers=server_request_headers(attempt),
            extensions={"trace": on_trace_step},
        ) as response:
            live.stream.head = response_head(response, attempt)
            live.produced.notify_all()
            if is_event_stream(response):
                await copy_event_stream(response, live)
            else:
                async for piece in response.aiter_raw():
                    await live.write(piece)
            if ends_with_connection(response) and await self.refuses_connections():
                raise ResponseTruncated("body without a length ended with its server")

    async def refuses_connections(self) -> bool:
        """Return whether nothing listens at the address of the server any more."""
        url = httpx.URL(self.url)
        try:
            async with await anyio.connect_tcp(url.host, url.port or HTTP_PORT):
                return False
        except OSError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)


def is_event_stream(response: httpx.Response) -> bool:
    """Return whether the body is a stream of events."""
    return response.headers.get("content-type", "").startswith(EVENT_STREAM_TYPE)


def ends_with_connection(response: httpx.Response) -> bool:
    """Return whether a body has neither a length nor chunks."""
    headers = response.headers
    return "content-length" not in headers and "transfer-encoding" not in headers


async def copy_event_stream(response: httpx.Response, live: LiveAttempt) -> None:
    """Copy a stream; raise ``ResponseTruncated`` if it ends before its end marker.

    The end of the HTTP message does not tell that a stream is whole: a body without a
    length ends with its connection, also when the server crashes.
    """
    splitter = EventSplitter()
    ended = False
    async for piece in response.aiter_raw():
        events = splitter.feed(piece)
        ended = ended or any(event.is_end_marker for event in events)
        await live.write(piece)
    if not ended:
        place = "inside an event" if splitter.inside_event else "between events"
        raise ResponseTruncated(f"stream ended {place} without its end marker")


def server_request_headers(attempt: Attempt) -> list[tuple[str, str]]:
    """Return the headers of the call with the chat, which identifies the prefix."""
    if not attempt.chat:
        return attempt.headers
    other_headers = [item for item in attempt.headers if item[0] != CHAT_HEADER]
    return [*other_headers, (CHAT_HEADER, attempt.chat)]


def response_head(response: httpx.Response, attempt: Attempt) -> ResponseHead:
    """Return status and headers of a response without hop-by-hop headers."""
    headers = [
        (name, value)
        for name, value in response.headers.items()
        if name not in HOP_BY_HOP_HEADERS
    ]
    return ResponseHead(response.status_code, headers)
