"""Calls to the backend server beside the sidecar."""

import anyio
import httpx

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.protocol.caller import HOP_HEADERS
from medlarridge._internal.protocol.messages import Attempt, Head

from .call_result import CallResult, CallState
from .live import LiveAttempt

CONNECT_TIMEOUT_MS = 2_000


class ServerClient:
    """HTTP client of the backend server."""

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_MS / MS_PER_S)
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=32)
        self.pooled = httpx.AsyncClient(timeout=timeout, limits=limits)
        # A reused connection may turn out closed after the call was written, which
        # leaves open whether it ran. Calls that may not be repeated get their own.
        self.fresh = httpx.AsyncClient(
            timeout=timeout,
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.aclose()
        await self.fresh.aclose()

    async def call(self, live: LiveAttempt, deadline_ms: int) -> CallResult:
        """Run the attempt and write the answer to its stream."""
        with anyio.move_on_after(deadline_ms / MS_PER_S):
            try:
                await self.exchange(live)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                return CallResult(CallState.NEVER_SENT, f"cannot connect: {error}")
            except httpx.TransportError as error:
                return CallResult(CallState.BROKEN, f"server failed: {error!r}")
            return CallResult(CallState.COMPLETE)
        return CallResult(CallState.DEADLINE, "deadline passed while running")

    async def exchange(self, live: LiveAttempt) -> None:
        """Send the call and copy the answer."""
        attempt = live.attempt
        client = self.pooled if attempt.repeatable else self.fresh
        async with client.stream(
            attempt.method,
            self.url + attempt.path,
            content=attempt.body,
            headers=attempt.headers,
        ) as reply:
            live.handed_over = True
            live.stream.head = head_of(reply, attempt)
            live.produced.set()
            async for piece in reply.aiter_raw():
                if piece:
                    await live.write(piece)


def head_of(reply: httpx.Response, attempt: Attempt) -> Head:
    """Return status and headers without those of the connection."""
    headers = [
        (name, value)
        for name, value in reply.headers.items()
        if name not in HOP_HEADERS
    ]
    return Head(reply.status_code, headers)
