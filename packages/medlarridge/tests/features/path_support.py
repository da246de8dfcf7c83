"""Backend servers that count what they run, for the path's scenarios."""

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
    pieces: int
    end_mark: bool = True
    varies: bool = False
    after_pieces: dict = field(default_factory=dict)
    runs: int = 0

    def endpoints(self):
        endpoints = Endpoints()

        @endpoints.register("POST", "/v1/chat/completions")
        async def complete(request, response):
            self.runs += 1
            body = await request.body()
            if self.varies:
                body += b" " * self.runs
            headers = [("content-type", "text/event-stream")]
            await response.start(200, headers)
            for number in range(self.pieces):
                await response.write(piece_of(body, number))
                await anyio.lowlevel.checkpoint()
                if (action := self.after_pieces.pop(number, None)) is not None:
                    await action()
            if self.end_mark:
                await response.write(b"data: [DONE]\n\n")
            await response.end()

        return endpoints


@dataclass
class CountingService:
    closes: bool = False
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
            if self.closes:
                raise ResponseAborted("closed without an answer")
            await response.reply(200, b"done")

        return endpoints


def piece_of(body, number):
    return f"data: {len(body)}-{hash(body) & 0xFFFF}-{number}\n\n".encode()


def chat_body(text="hello", stream=True):
    return {
        "model": "chats",
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
    }


def attempt_for(target, **changes):
    values = {
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
    return Attempt(**(values | changes))
