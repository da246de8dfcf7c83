"""Operator endpoints of both daemons: liveness, readiness, metrics, status."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from .transport.asgi import Endpoints, HttpRequest, HttpResponse
from .transport.auth import SharedKey


def operator_endpoints(
    registry: CollectorRegistry,
    key: SharedKey,
    not_ready_reason: Callable[[], str],
    status: Callable[[], dict[str, object]],
) -> Endpoints:
    """Return the operator endpoints.

    ``not_ready_reason`` returns an empty string if the process is ready.
    """
    endpoints = Endpoints()

    @endpoints.register("GET", "/healthz")
    async def healthz(request: HttpRequest, response: HttpResponse) -> None:
        await response.reply(200, b"ok\n")

    @endpoints.register("GET", "/readyz")
    async def readyz(request: HttpRequest, response: HttpResponse) -> None:
        reason = not_ready_reason()
        text = reason or "ready"
        await response.reply(503 if reason else 200, f"{text}\n".encode())

    @endpoints.register("GET", "/metrics")
    async def metrics(request: HttpRequest, response: HttpResponse) -> None:
        await response.reply(
            200, generate_latest(registry), [("content-type", CONTENT_TYPE_LATEST)]
        )

    @endpoints.register("GET", "/status")
    async def show_status(request: HttpRequest, response: HttpResponse) -> None:
        key.check(request)
        await response.reply_json(200, status())

    return endpoints
