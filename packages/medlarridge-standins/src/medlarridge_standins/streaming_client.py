"""A caller of chat completions that costs little CPU time of its own."""

import json
import time
from dataclasses import dataclass, field

import anyio
import anyio.abc

HEAD_END = b"\r\n\r\n"
BODY_END = b"\r\n0\r\n\r\n"
STREAM_END = b"data: [DONE]\n\n"
TAIL_BYTES = 256
MS_PER_S = 1000
TOKEN = b'"content":'


class ResponseTruncated(Exception):
    """A stream ended without its end mark."""


@dataclass
class ClientObservations:
    """What all callers have seen."""

    started: int = 0
    finished: int = 0
    refused: int = 0
    chunks: int = 0
    first_ms: list[float] = field(default_factory=list)
    gaps_ms: list[float] = field(default_factory=list)

    def requests(self) -> float:
        """Return the requests sent; one in progress counts half."""
        return (self.started + self.finished) / 2 + self.refused


class StreamingClient:
    """One connection on which one request follows another."""

    def __init__(self, port: int, seen: ClientObservations) -> None:
        self.port = port
        self.seen = seen
        self.stream: anyio.abc.ByteStream | None = None

    async def close(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            await self.stream.aclose()
            self.stream = None

    async def request(self, chat: str, tokens: int) -> bool:
        """Stream one answer; return whether it was given whole, not refused."""
        if self.stream is None:
            self.stream = await anyio.connect_tcp("127.0.0.1", self.port)
        started_ms = time.monotonic() * MS_PER_S
        self.seen.started += 1
        await self.stream.send(request_bytes(chat, tokens))
        data = await self.read_until(b"", HEAD_END)
        head, _, rest = data.partition(HEAD_END)
        if not head.startswith(b"HTTP/1.1 200"):
            self.seen.started -= 1
            self.seen.refused += 1
            await self.close()
            return False
        await self.read_stream(rest, started_ms)
        self.seen.finished += 1
        return True

    async def read_stream(self, data: bytes, started_ms: float) -> None:
        """Read the pieces of a stream and note when they come."""
        last_ms = None
        tail = b""
        while True:
            count = data.count(TOKEN)
            if count:
                now_ms = time.monotonic() * MS_PER_S
                if last_ms is None:
                    self.seen.first_ms.append(now_ms - started_ms)
                else:
                    self.seen.gaps_ms.append(now_ms - last_ms)
                last_ms = now_ms
                self.seen.chunks += count
            # A mark can come in two pieces.
            tail = (tail + data)[-TAIL_BYTES:]
            if tail.endswith(BODY_END):
                if STREAM_END not in tail:
                    raise ResponseTruncated
                return
            data = await self.receive()

    async def read_until(self, data: bytes, mark: bytes) -> bytes:
        """Read until a mark has come."""
        while mark not in data:
            data += await self.receive()
        return data

    async def receive(self) -> bytes:
        """Return the next bytes."""
        if self.stream is None:
            raise ResponseTruncated
        try:
            return await self.stream.receive()
        except anyio.EndOfStream as error:
            raise ResponseTruncated from error


def request_bytes(chat: str, tokens: int) -> bytes:
    """Return one request for a streamed answer."""
    body = json.dumps(
        {
            "model": "chats",
            "messages": [{"role": "user", "content": f"figures of {chat}"}],
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: 127.0.0.1\r\n"
        "content-type: application/json\r\nx-medlarridge-account: desk\r\n"
        f"x-medlarridge-chat: {chat}\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
