"""Client for streamed chat completions with low CPU overhead, for measurements."""

import json
import time
from dataclasses import dataclass, field

import anyio
import anyio.abc

HEADER_END = b"\r\n\r\n"
BODY_END = b"\r\n0\r\n\r\n"
STREAM_END = b"data: [DONE]\n\n"
TAIL_BYTES = 256
MS_PER_S = 1000
TOKEN_FIELD = b'"content":'


class ResponseTruncated(Exception):
    """A streamed response ended without its end marker."""


@dataclass
class ClientObservations:
    """Request counts and token timings, summed over all clients."""

    started: int = 0
    finished: int = 0
    refused: int = 0
    chunks: int = 0
    first_ms: list[float] = field(default_factory=list)
    gaps_ms: list[float] = field(default_factory=list)

    def request_count(self) -> float:
        """Return the number of requests; one in progress counts half."""
        return (self.started + self.finished) / 2 + self.refused


class StreamingClient:
    """Client that sends requests one after another on a persistent connection."""

    def __init__(self, port: int, observations: ClientObservations) -> None:
        self.port = port
        self.observations = observations
        self.stream: anyio.abc.ByteStream | None = None

    async def close(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            await self.stream.aclose()
            self.stream = None

    async def request(self, chat: str, tokens: int) -> bool:
        """Stream one response; return False if the request is refused."""
        if self.stream is None:
            self.stream = await anyio.connect_tcp("127.0.0.1", self.port)
        started_ms = time.monotonic() * MS_PER_S
        self.observations.started += 1
        await self.stream.send(request_bytes(chat, tokens))
        data = await self.read_until(b"", HEADER_END)
        head, _, rest = data.partition(HEADER_END)
        if not head.startswith(b"HTTP/1.1 200"):
            self.observations.started -= 1
            self.observations.refused += 1
            await self.close()
            return False
        await self.read_stream(rest, started_ms)
        self.observations.finished += 1
        return True

    async def read_stream(self, data: bytes, started_ms: float) -> None:
        """Read a streamed response and record the arrival times of its tokens."""
        last_ms = None
        tail = b""
        while True:
            count = data.count(TOKEN_FIELD)
            if count:
                now_ms = time.monotonic() * MS_PER_S
                if last_ms is None:
                    self.observations.first_ms.append(now_ms - started_ms)
                else:
                    self.observations.gaps_ms.append(now_ms - last_ms)
                last_ms = now_ms
                self.observations.chunks += count
            # The end marker can be split over two reads.
            tail = (tail + data)[-TAIL_BYTES:]
            if tail.endswith(BODY_END):
                if STREAM_END not in tail:
                    raise ResponseTruncated
                return
            data = await self.receive()

    async def read_until(self, data: bytes, mark: bytes) -> bytes:
        """Read until ``mark`` is in the data, and return all of it."""
        while mark not in data:
            data += await self.receive()
        return data

    async def receive(self) -> bytes:
        """Return the next bytes of the connection."""
        if self.stream is None:
            raise ResponseTruncated
        try:
            return await self.stream.receive()
        except anyio.EndOfStream as error:
            raise ResponseTruncated from error


def request_bytes(chat: str, tokens: int) -> bytes:
    """Return the bytes of a request for a streamed response."""
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
