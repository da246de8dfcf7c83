"""Calls to the backend server beside the sidecar."""

import anyio
import httpx

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.protocol.caller import CHAT_HEADER, HOP_BY_HOP_HEADERS
from medlarridge._internal.protocol.messages import Attempt, ResponseHead

from .live_attempt import LiveAttempt
from .server_result import CallState, ServerResult

CONNECT_TIMEOUT_MS = 2_000
FIRST_BYTE_STEP = "http11.send_request_headers.started"
"""Step that the HTTP client reports right before the first byte of a request."""


class SendRefused(Exception):
    """The call must not be sent any more."""


class ServerClient:
    """HTTP client of the backend server."""

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_MS / MS_PER_S)
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=32)
        # Without this, the environment could send the calls through a proxy.
        direct = {"timeout": timeout, "trust_env": False}
        self.pooled_client = httpx.AsyncClient(limits=limits, **direct)
        # A reused connection may turn out closed after the call was written, which
        # leaves open whether it ran. Calls that may not be repeated get their own.
        self.unpooled_client = httpx.AsyncClient(
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
            **direct,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled_client.aclose()
        await self.unpooled_client.aclose()

    async def call(self, live: LiveAttempt, deadline_ms: int) -> ServerResult:
        """Run the attempt and write the answer to its stream."""
        detail = "deadline passed"
        with anyio.move_on_after(deadline_ms / MS_PER_S):
            try:
                await self.exchange(live)
                return ServerResult(CallState.COMPLETE)
            except SendRefused:
                detail = "the right to run the call has lapsed"
            except httpx.TransportError as error:
                detail = f"{type(error).__name__}: {error}"
            if live.maybe_sent:
                return ServerResult(CallState.BROKEN, f"server failed: {detail}")
        state = CallState.DEADLINE if live.maybe_sent else CallState.NEVER_SENT
        return ServerResult(state, detail)

    async def exchange(self, live: LiveAttempt) -> None:
        """Send the call and copy the answer."""
        attempt = live.attempt
        client = self.pooled_client if attempt.repeatable else self.unpooled_client

        async def before_step(step: str, info: object) -> None:
            if step == FIRST_BYTE_STEP and not live.allow_send():
                raise SendRefused

        async with client.stream(
            attempt.method,
            self.url + attempt.path,
            content=attempt.body,
            headers=headers_of(attempt),
            extensions={"trace": before_step},
        ) as reply:
            live.stream.head = head_of(reply, attempt)
            live.produced.notify_all()
            async for piece in reply.aiter_raw():
                if piece:
                    await live.write(piece)


def headers_of(attempt: Attempt) -> list[tuple[str, str]]:
    """Return the headers for the server, which names the cached prefix by chat."""
    if not attempt.chat:
        return attempt.headers
    others = [item for item in attempt.headers if item[0] != CHAT_HEADER]
    return [*others, (CHAT_HEADER, attempt.chat)]


def head_of(reply: httpx.Response, attempt: Attempt) -> ResponseHead:
    """Return status and headers without those of the connection."""
    headers = [
        (name, value)
        for name, value in reply.headers.items()
        if name not in HOP_BY_HOP_HEADERS
    ]
    return ResponseHead(reply.status_code, headers)
