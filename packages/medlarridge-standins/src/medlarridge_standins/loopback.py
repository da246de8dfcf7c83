"""HTTP servers on the loopback interface, for tests."""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio

from medlarridge._internal.transport.asgi import Endpoints

from .common import serve


@asynccontextmanager
async def serve_on_loopback(
    endpoints: Endpoints, background: Callable[[], Awaitable[None]] | None = None
) -> AsyncIterator[str]:
    """Serve endpoints on a free port for the duration of the block; yield the URL."""
    # The socket already listens, so that clients can connect immediately.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        # Hypercorn closes the descriptor it is given, so it gets a duplicate.
        bind = f"fd://{listener.dup().detach()}"
    # Hypercorn does not clean up on cancellation, so it is shut down explicitly.
    shutdown = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve, endpoints, bind, background, shutdown.wait)
        try:
            yield f"http://{host}:{port}"
        finally:
            shutdown.set()
