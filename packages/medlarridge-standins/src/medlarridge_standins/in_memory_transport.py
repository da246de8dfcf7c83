"""In-memory HTTP transport between ASGI applications, with fault injection."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import httpx

from medlarridge._internal.transport.asgi import Endpoints

FIRST_BYTE_STEP = "http11.send_request_headers.started"


@dataclass
class ConnectionFault:
    """Fault injected into one connection.

    Reading the response raises ``error`` after ``pieces_before_error`` pieces of its
    body. With ``before_request``, the connection fails before the application
    receives the request.
    """

    pieces_before_error: int = 0
    error: type[httpx.TransportError] = httpx.ReadError
    before_request: bool = False


FaultPlan = Callable[[httpx.Request], ConnectionFault | None]


def no_faults(request: httpx.Request) -> ConnectionFault | None:
    """Fault plan without faults."""
    return None


@dataclass
class InMemoryTransport(httpx.AsyncBaseTransport):
    """HTTP transport to the applications registered by address."""

    tasks: anyio.abc.TaskGroup
    applications: dict[str, Endpoints] = field(default_factory=dict)
    plan: FaultPlan = no_faults
    requests: list[str] = field(default_factory=list)
    open_exchanges: dict[str, set["HttpExchange"]] = field(default_factory=dict)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request to the application at its address."""
        address = request.url.netloc.decode()
        self.requests.append(f"{request.method} {address}{request.url.path}")
        application = self.applications.get(address)
        if application is None:
            raise httpx.ConnectError(f"no application is registered at {address}")
        if (trace := request.extensions.get("trace")) is not None:
            await trace(FIRST_BYTE_STEP, {})
        fault = self.plan(request)
        if fault is not None and fault.before_request:
            raise fault.error("injected connection failure before the request")
        exchange = HttpExchange(await request.aread(), fault)
        scope = asgi_scope(request)
        self.tasks.start_soon(self.serve, address, exchange, application, scope)
        try:
            await exchange.started.wait()
        except BaseException:
            await exchange.aclose()
            raise
        if exchange.status is None:
            raise httpx.RemoteProtocolError(
                "connection closed before the response started"
            )
        return httpx.Response(
            exchange.status, headers=exchange.headers, stream=exchange
        )

    async def serve(
        self,
        address: str,
        exchange: "HttpExchange",
        application: Endpoints,
        scope: dict[str, Any],
    ) -> None:
        """Run the application for one request until it finishes or is stopped."""
        exchanges = self.open_exchanges.setdefault(address, set())
        exchanges.add(exchange)
        try:
            with exchange.serving:
                await exchange.serve(application, scope)
        finally:
            exchanges.discard(exchange)

    def stop(self, address: str) -> None:
        """Unregister the application at an address and abort its connections."""
        self.applications.pop(address, None)
        for exchange in self.open_exchanges.get(address, set()):
            exchange.serving.cancel()


class HttpExchange(httpx.AsyncByteStream):
    """A request and its response, streamed between client and application."""

    def __init__(self, body: bytes, fault: ConnectionFault | None) -> None:
        self.body: bytes | None = body
        self.fault = fault
        self.started = anyio.Event()
        self.closed = anyio.Event()
        self.status: int | None = None
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_complete = False
        self.serving = anyio.CancelScope()
        self.frozen = False
        self.sender, self.receiver = anyio.create_memory_object_stream[bytes](0)

    async def serve(self, application: Endpoints, scope: dict[str, Any]) -> None:
        """Run the application."""
        try:
            await application(scope, self.receive, self.send)
        except Exception:  # A server closes the connection on any failure.
            self.body_complete = False
        finally:
            self.sender.close()
            self.started.set()

    async def receive(self) -> dict[str, Any]:
        """ASGI receive: return the request body, then the client's disconnect."""
        if self.body is not None:
            body, self.body = self.body, None
            return {"type": "http.request", "body": body, "more_body": False}
        await self.closed.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        """ASGI send: pass on a response message, waiting until the client reads it."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = message["headers"]
            self.started.set()
            return
        if message.get("body"):
            try:
                await self.sender.send(message["body"])
            except anyio.BrokenResourceError:
                return
        if not message.get("more_body", False):
            self.body_complete = True

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the response body, subject to the injected fault."""
        pieces = 0
        while True:
            if self.fault is not None and pieces >= self.fault.pieces_before_error:
                raise self.fault.error("injected connection failure")
            try:
                piece = await self.receiver.receive()
            except anyio.EndOfStream:
                break
            if self.frozen:
                await anyio.sleep_forever()
            yield piece
            pieces += 1
        if self.frozen:
            await anyio.sleep_forever()
        if not self.body_complete:
            raise httpx.RemoteProtocolError(
                "connection closed before the response was complete"
            )

    def freeze(self) -> None:
        """Disconnect from the server and block the client's reads forever."""
        self.frozen = True
        self.closed.set()

    async def aclose(self) -> None:
        """Close the connection on the client side."""
        self.closed.set()
        self.receiver.close()


def asgi_scope(request: httpx.Request) -> dict[str, Any]:
    """Return the ASGI scope of a request."""
    return {
        "type": "http",
        "method": request.method,
        "path": request.url.path,
        "raw_path": request.url.raw_path.split(b"?")[0],
        "query_string": request.url.query,
        "headers": [(name.lower(), value) for name, value in request.headers.raw],
        "client": ("127.0.0.1", 0),
    }
