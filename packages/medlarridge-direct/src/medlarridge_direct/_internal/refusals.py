"""Final answers of the router itself."""

import msgspec

from .protocol.platform_interface import Dialect
from .transport.client_connection import ResponseWriter


def send_refusal(
    dialect: Dialect,
    response: ResponseWriter,
    status: int,
    reason: str,
    request_id: str | None = None,
    retry_after_ms: int = 0,
) -> None:
    """Answer a request that the router itself ends.

    503 says that the request has not run; ``retry_after_ms`` tells when to come back.
    """
    body = msgspec.json.encode({"error": reason})
    headers = dialect.refusal_headers(request_id, retry_after_ms)
    response.send(status, headers, body)
