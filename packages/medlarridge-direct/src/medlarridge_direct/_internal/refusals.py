"""Error responses that the router itself generates."""

import msgspec

from .protocol.platform_interface import Dialect
from .transport.response_writer import ResponseWriter


def send_refusal(
    dialect: Dialect,
    response: ResponseWriter,
    status: int,
    reason: str,
    request_id: str | None = None,
    retry_after_ms: int = 0,
) -> None:
    """Send an error response.

    Status 503 tells the client that the request has not run. ``retry_after_ms`` is the
    time after which the client may retry, 0 if none is given.
    """
    body = msgspec.json.encode({"error": reason})
    headers = dialect.refusal_headers(request_id, retry_after_ms)
    response.send(status, headers, body)
