"""Helpers shared by the simulated components."""

import signal
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import anyio
from pydantic import BaseModel, ConfigDict, ValidationError

from medlarridge._internal.clock import MS_PER_S, Clock
from medlarridge._internal.errors import TransportError
from medlarridge._internal.transport.asgi import (
    Endpoints,
    HttpError,
    HttpRequest,
    HttpResponse,
)
from medlarridge._internal.transport.server import serve_http

T = TypeVar("T")
M = TypeVar("M", bound=BaseModel)


class StrictModel(BaseModel):
    """Immutable base model that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ConnectionAborted(TransportError):
    """The connection is closed deliberately in the middle of a response."""


class DelayedValue(Generic[T]):
    """A value whose changes become visible to readers after a lag."""

    def __init__(self, clock: Clock, initial: T) -> None:
        self.clock = clock
        self.states: deque[tuple[int, T]] = deque([(clock.now_ms(), initial)])

    def set(self, value: T) -> None:
        """Set the current value."""
        self.states.append((self.clock.now_ms(), value))

    def current(self) -> T:
        """Return the current value, without the lag."""
        return self.states[-1][1]

    def read(self, lag_ms: int) -> T:
        """Return the value as of ``lag_ms`` ago and drop older values."""
        visible_ms = self.clock.now_ms() - lag_ms
        while len(self.states) > 1 and self.states[1][0] <= visible_ms:
            self.states.popleft()
        return self.states[0][1]


class RateLimit:
    """Token bucket with a burst of one second of calls; a rate of 0 is unlimited."""

    def __init__(self, clock: Clock, per_s: float) -> None:
        self.clock = clock
        self.per_s = per_s
        self.tokens = max(per_s, 1.0)
        self.updated_ms = clock.now_ms()

    def admit(self) -> bool:
        """Return whether a call is admitted, consuming a token if so."""
        now_ms = self.clock.now_ms()
        refilled = (now_ms - self.updated_ms) * self.per_s / MS_PER_S
        self.tokens = min(max(self.per_s, 1.0), self.tokens + refilled)
        self.updated_ms = now_ms
        if self.per_s and self.tokens < 1:
            return False
        self.tokens -= 1
        return True


async def read_body(request: HttpRequest, model: type[M]) -> M:
    """Read and validate a JSON body."""
    try:
        return model.model_validate_json(await request.body())
    except ValidationError as error:
        raise HttpError(400, str(error)) from error


def read_int(request: HttpRequest, name: str, default: int) -> int:
    """Return an integer query parameter."""
    try:
        return int(request.query.get(name, default))
    except ValueError as error:
        raise HttpError(400, f"query parameter {name} is not an integer") from error


async def abort_connection(response: HttpResponse) -> None:
    """Close the connection so that the client sees a truncated response."""
    if not response.started:
        # Without response headers, the HTTP server would send a complete 500 response.
        await response.start(500, [("content-length", "1")])
    raise ConnectionAborted("connection closed by an injected fault", step="answer")


async def reply_no_content(
    response: HttpResponse, headers: list[tuple[str, str]] | None = None
) -> None:
    """Send an empty 204 response."""
    await response.start(204, headers)
    await response.end()


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def serve(
    endpoints: Endpoints,
    bind: str,
    background: Callable[[], Awaitable[None]] | None = None,
    shutdown: Callable[[], Awaitable[None]] = wait_for_signal,
) -> None:
    """Serve HTTP until ``shutdown`` returns; run ``background`` meanwhile."""
    if background is None:
        await serve_http(endpoints, bind, shutdown)
        return
    async with anyio.create_task_group() as tasks:

        async def serve_then_stop() -> None:
            await serve_http(endpoints, bind, shutdown)
            tasks.cancel_scope.cancel()

        tasks.start_soon(background)
        # Hypercorn's shutdown cancels the task that it runs in. It runs in a child
        # task because cancelling this group's host task would propagate out of the
        # group.
        tasks.start_soon(serve_then_stop)
