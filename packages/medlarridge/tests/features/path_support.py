"""Backend servers, tables and requests shared by the end-to-end scenarios."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from medlarridge._internal.protocol.messages import Attempt
from medlarridge._internal.transport.asgi import Endpoints, ResponseAborted

CHAT_TABLES = {
    "routes": {"chats": {"pools": ["engines"]}},
    "pools": {"engines": {"kind": "engine", "data_centres": ["data-centre-a"]}},
}


def service_tables(repeatable):
    return {
        "routes": {"desk": {"pools": ["services"], "repeatable": repeatable}},
        "pools": {"services": {"kind": "service", "data_centres": ["data-centre-a"]}},
    }


@dataclass
class CountingEngine:
    """Engine that streams a fixed number of pieces and counts its runs.

    With ``varies_by_run`` each run returns different pieces for the same request.
    ``actions_after_piece`` are called once, after the piece of that number.
    """

    piece_count: int
    sends_end_mark: bool = True
    varies_by_run: bool = False
    actions_after_piece: dict = field(default_factory=dict)
    runs: int = 0

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("POST", "/v1/chat/completions")
        async def complete(request, response):
            self.runs += 1
            body = await request.body()
            if self.varies_by_run:
                body += b" " * self.runs
            headers = [("content-type", "text/event-stream")]
            await response.start(200, headers)
            for number in range(self.piece_count):
                await response.write(response_piece(body, number))
                await anyio.lowlevel.checkpoint()
                if (action := self.actions_after_piece.pop(number, None)) is not None:
                    await action()
            if self.sends_end_mark:
                await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints


@dataclass
class CountingService:
    """Service that counts its runs and can abort its response."""

    aborts_response: bool = False
    on_call: Callable | None = None
    runs: int = 0

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("*", "/{rest}")
        async def call(request, response):
            self.runs += 1
            await request.body()
            if self.on_call is not None:
                await self.on_call()
            if self.aborts_response:
                raise ResponseAborted("connection closed without a response")
            await response.reply(200, b"done")

        return endpoints


def response_piece(request_body, number):
    """Return piece ``number`` of the response to a request, derived from its body."""
    return (
        f"data: {len(request_body)}-{hash(request_body) & 0xFFFF}-{number}\n\n".encode()
    )


def chat_body(text="hello", stream=True):
    return {
        "model": "chats",
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
    }


def attempt_for(target, **overrides):
    fields = {
        "request_id": "r1",
        "number": 1,
        "target": target,
        "route": "desk",
        "pool": "services",
        "generation": 1,
        "account": "a",
        "method": "POST",
        "path": "/invoices",
        "deadline_ms": 10_000,
    }
    return Attempt(**(fields | overrides))
