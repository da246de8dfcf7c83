"""HTTP servers of a process."""

from collections.abc import Awaitable, Callable

import hypercorn.asyncio
from hypercorn.config import Config

from .asgi import MAX_HEADER_BYTES, Endpoints

KEEP_ALIVE_S = 75
GRACEFUL_TIMEOUT_S = 600
READ_TIMEOUT_S = 30


async def serve_http(
    endpoints: Endpoints, bind: str, shutdown: Callable[[], Awaitable[None]]
) -> None:
    """Serve endpoints at ``ip:port`` until ``shutdown`` returns.

    Requests in flight at that time are completed.
    """
    config = Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.include_server_header = False
    config.backlog = 1024
    await hypercorn.asyncio.serve(
        endpoints,  # type: ignore[arg-type]
        config,
        shutdown_trigger=shutdown,
        mode="asgi",
    )
