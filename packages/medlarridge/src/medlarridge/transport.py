"""Datagrams, request and reply exchanges, HTTP endpoints and streamed attempts."""

from ._internal.transport.asgi import (
    ClientDisconnected,
    Endpoints,
    HttpError,
    HttpRequest,
    HttpResponse,
    ResponseAborted,
)
from ._internal.transport.attempt_client import (
    AttemptClient,
    AttemptEnd,
    AttemptEndState,
    ResponseSink,
)
from ._internal.transport.auth import SharedKey
from ._internal.transport.datagrams import (
    DatagramCounts,
    DatagramEndpoint,
    DatagramSigner,
)
from ._internal.transport.exchange import ExchangeClient, ExchangeServer, ExchangeSigner
from ._internal.transport.server import serve_http

__all__ = [
    "AttemptClient",
    "AttemptEnd",
    "AttemptEndState",
    "ClientDisconnected",
    "DatagramCounts",
    "DatagramEndpoint",
    "DatagramSigner",
    "Endpoints",
    "ExchangeClient",
    "ExchangeServer",
    "ExchangeSigner",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "ResponseAborted",
    "ResponseSink",
    "SharedKey",
    "serve_http",
]
