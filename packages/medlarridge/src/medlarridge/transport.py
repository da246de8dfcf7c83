"""Datagrams, request and reply, HTTP endpoints and streamed attempts."""

from ._internal.transport.asgi import (
    AnswerCut,
    ClientGone,
    Endpoints,
    HttpError,
    HttpRequest,
    HttpResponse,
)
from ._internal.transport.attempt_client import (
    AnswerSink,
    AttemptLink,
    LinkResult,
    LinkState,
)
from ._internal.transport.auth import SharedKey
from ._internal.transport.datagrams import DatagramCounts, DatagramEndpoint, Seal
from ._internal.transport.exchange import ExchangeClient, ExchangeSeal, ExchangeServer
from ._internal.transport.server import serve_http

__all__ = [
    "AnswerCut",
    "AnswerSink",
    "AttemptLink",
    "ClientGone",
    "DatagramCounts",
    "DatagramEndpoint",
    "Endpoints",
    "ExchangeClient",
    "ExchangeSeal",
    "ExchangeServer",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "LinkResult",
    "LinkState",
    "Seal",
    "SharedKey",
    "serve_http",
]
