"""Minimal ASGI layer: a registry of endpoints, body limits, streamed responses."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec

from ..errors import MedlarridgeError
from ..events import register
from ..log import log_event

HANDLER_FAILED = register(3900, "ERROR", "request handler failed")

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
REMAINDER = "{rest}"


class HttpError(MedlarridgeError):
    """An error that is sent to the client as an HTTP status."""

    def __init__(self, status: int, message: str, **headers: str) -> None:
        super().__init__(message, step="handle request")
        self.status = status
        self.headers = headers


class ResponseAborted(MedlarridgeError):
    """The response is aborted on purpose; the connection is closed before its end."""


class ClientDisconnected(MedlarridgeError):
    """The client closed its connection."""


@dataclass
class HttpRequest:
    """A received request whose body is read on demand."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    raw_headers: list[tuple[str, str]]
    receive: Receive
    query_string: str = ""
    client: str = ""
    parameters: dict[str, str] = field(default_factory=dict)
    body_read: bool = False

    async def body(self, limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES) -> bytes:
        """Read the whole body; refuse one that exceeds the limit."""
        parts = bytearray()
        async for part in self.stream():
            parts += part
            if len(parts) > limit_bytes:
                raise HttpError(413, f"request body exceeds {limit_bytes} bytes")
        return bytes(parts)

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body."""
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnected(
                    "client closed the connection", step="read body"
                )
            yield message.get("body", b"")
            if not message.get("more_body", False):
                self.body_read = True
                return

    async def wait_disconnect(self) -> None:
        """Wait until the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


class HttpResponse:
    """Writer of one response."""

    def __init__(self, send: Send) -> None:
        self.send = send
        self.started = False
        self.ended = False

    async def start(
        self, status: int, headers: list[tuple[str, str]] | None = None
    ) -> None:
        """Send the status and the headers."""
        self.started = True
        encoded = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in headers or []
        ]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while the client is slow."""
        await self.send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """Send the end of the body."""
        self.ended = True
        await self.send({"type": "http.response.body", "body": b""})

    async def reply(
        self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None
    ) -> None:
        """Send a complete response."""
        await self.start(status, [*(headers or []), ("content-length", str(len(body)))])
        if body:
            await self.write(body)
        await self.end()

    async def reply_json(
        self,
        status: int,
        value: object,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        """Send a complete response with a value as JSON."""
        await self.reply(
            status,
            msgspec.json.encode(value),
            [("content-type", "application/json"), *(headers or [])],
        )


Handler = Callable[[HttpRequest, HttpResponse], Awaitable[None]]


@dataclass(frozen=True)
class Endpoint:
    """A handler with the method and the path that it serves."""

    method: str
    segments: tuple[str, ...]
    handler: Handler

    def match(self, method: str, segments: list[str]) -> dict[str, str] | None:
        """Return the path parameters, or None if the request does not match."""
        if self.method not in ("*", method):
            return None
        takes_remainder = bool(self.segments) and self.segments[-1] == REMAINDER
        fixed = self.segments[:-1] if takes_remainder else self.segments
        if len(segments) < len(fixed) or (
            not takes_remainder and len(segments) != len(fixed)
        ):
            return None
        parameters = {}
        for pattern, segment in zip(fixed, segments, strict=False):
            if pattern.startswith("{"):
                parameters[pattern[1:-1]] = unquote(segment)
            elif pattern != segment:
                return None
        if takes_remainder:
            parameters["rest"] = "/".join(segments[len(fixed) :])
        return parameters


class Endpoints:
    """Registry of handlers and the ASGI application that calls them."""

    def __init__(
        self,
        error_headers: dict[str, str] | None = None,
        failure_headers: dict[str, str] | None = None,
        new_headers: Callable[[], dict[str, str]] = dict,
    ) -> None:
        """Create an empty registry.

        ``error_headers`` are sent with refused requests and ``failure_headers`` when a
        handler fails. ``new_headers`` is called for each response of both kinds.
        """
        self.endpoints: list[Endpoint] = []
        self.error_headers = error_headers or {}
        self.failure_headers = failure_headers or {}
        self.new_headers = new_headers

    def register(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Return a decorator that serves ``path`` with the handler.

        A segment in braces is a parameter; ``{rest}`` as the last segment takes
        the remaining path.
        """

        def decorate(handler: Handler) -> Handler:
            segments = tuple(path.strip("/").split("/"))
            self.endpoints.append(Endpoint(method, segments, handler))
            return handler

        return decorate

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            raise MedlarridgeError(f"unsupported connection type {scope['type']}")
        response = HttpResponse(send)
        try:
            await self.dispatch(scope, receive, response)
        except HttpError as error:
            if response.started:
                raise
            await response.reply_json(
                error.status,
                {"error": {"message": error.message}},
                [
                    *self.error_headers.items(),
                    *self.new_headers().items(),
                    *error.headers.items(),
                ],
            )
        except ClientDisconnected:
            return
        except Exception as error:
            abort = find_abort(error)
            if abort is None:
                log_event(HANDLER_FAILED, path=scope["path"], error=repr(error))
                if not response.started:
                    await response.reply_json(
                        500,
                        {"error": {"message": "internal error"}},
                        [*self.failure_headers.items(), *self.new_headers().items()],
                    )
                    return
            raise ResponseAborted(str(abort or error), step="send response") from None

    async def dispatch(
        self, scope: Scope, receive: Receive, response: HttpResponse
    ) -> None:
        """Find the endpoint of a request and call its handler."""
        raw_headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in scope["headers"]
        ]
        if sum(len(n) + len(v) for n, v in raw_headers) > MAX_HEADER_BYTES:
            raise HttpError(431, f"headers exceed {MAX_HEADER_BYTES} bytes")
        query_string = scope["query_string"].decode("latin-1")
        query = parse_qs(query_string)
        request = HttpRequest(
            scope["method"],
            scope["raw_path"].decode("latin-1"),
            {name: values[-1] for name, values in query.items()},
            dict(raw_headers),
            raw_headers,
            receive,
            query_string,
            (scope.get("client") or ("",))[0],
        )
        segments = request.path.strip("/").split("/")
        for endpoint in self.endpoints:
            parameters = endpoint.match(request.method, segments)
            if parameters is not None:
                request.parameters = parameters
                await endpoint.handler(request, response)
                return
        raise HttpError(404, f"no endpoint {request.method} {request.path}")


def find_abort(error: BaseException) -> ResponseAborted | None:
    """Return the deliberate abort in an error, also if it is nested in a group."""
    if isinstance(error, ResponseAborted):
        return error
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            if (found := find_abort(inner)) is not None:
                return found
    return None


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the start-up and the shutdown of the server."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
