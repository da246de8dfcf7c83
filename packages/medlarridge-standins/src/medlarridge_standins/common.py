"""Parts that the stand-ins share."""

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


class Body(BaseModel):
    """Base of request bodies that the stand-ins control: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ConnectionAborted(TransportError):
    """The stand-in closes a connection in the middle of an answer."""


class DelayedValue(Generic[T]):
    """A value whose readers see the state of some time ago."""

    def __init__(self, clock: Clock, initial: T) -> None:
        self.clock = clock
        self.states: deque[tuple[int, T]] = deque([(clock.now_ms(), initial)])

    def set(self, value: T) -> None:
        """Record the current value."""
        self.states.append((self.clock.now_ms(), value))

    def current(self) -> T:
        """Return the newest value."""
        return self.states[-1][1]

    def read(self, lag_ms: int) -> T:
        """Return the value of ``lag_ms`` ago and forget older ones."""
        visible_ms = self.clock.now_ms() - lag_ms
        while len(self.states) > 1 and self.states[1][0] <= visible_ms:
            self.states.popleft()
        return self.states[0][1]


class RateLimit:
    """Token bucket that holds the calls of one second; a rate of 0 admits all."""

    def __init__(self, clock: Clock, per_s: float) -> None:
        self.clock = clock
        self.per_s = per_s
        self.tokens = max(per_s, 1.0)
        self.updated_ms = clock.now_ms()

    def admit(self) -> bool:
        """Return whether a call may pass now."""
        now_ms = self.clock.now_ms()
        earned = (now_ms - self.updated_ms) * self.per_s / MS_PER_S
        self.tokens = min(max(self.per_s, 1.0), self.tokens + earned)
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
    """Return a parameter of the query as a number."""
    try:
        return int(request.query.get(name, default))
    except ValueError as error:
        raise HttpError(400, f"{name} is not a number") from error


async def abort(response: HttpResponse) -> None:
    """Close the connection so that the client sees a truncated answer."""
    if not response.started:
        # The server would answer 500 if nothing had been sent.
        await response.start(500, [("content-length", "1")])
    raise ConnectionAborted("connection closed on purpose", step="answer")


async def reply_empty(
    response: HttpResponse, headers: list[tuple[str, str]] | None = None
) -> None:
    """Answer that there is no content."""
    await response.start(204, headers)
    await response.end()


async def wait_for_signal() -> None:
    """Return at the first request to end this process."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def serve(
    endpoints: Endpoints,
    bind: str,
    background: Callable[[], Awaitable[None]] | None = None,
    shutdown: Callable[[], Awaitable[None]] = wait_for_signal,
) -> None:
    """Serve a stand-in until the process is told to end."""
    if background is None:
        await serve_http(endpoints, bind, shutdown)
        return
    async with anyio.create_task_group() as tasks:

        async def serve_then_stop() -> None:
            await serve_http(endpoints, bind, shutdown)
            tasks.cancel_scope.cancel()

        tasks.start_soon(background)
        # Hypercorn's shutdown cancels the task that it runs in. If that were the
        # host of this group, the cancellation of the group would escape from it.
        tasks.start_soon(serve_then_stop)
