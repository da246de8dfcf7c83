"""Authenticated requests and replies over pynng, for messages too big for datagrams."""

import hashlib
import hmac
import secrets
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import pynng

from ..clock import Clock
from ..errors import CodecError, TransportError
from ..events import register
from ..log import log_event
from ..protocol.gossip import (
    ExchangeFailure,
    ExchangeReply,
    ExchangeRequest,
    decode_reply,
    decode_request,
    encode,
)
from .datagrams import split_address

NONCE_BYTES = 8
DIGEST_BYTES = 16
MAX_REQUEST_BYTES = 4096
MAX_REPLY_BYTES = 2 * 1024 * 1024
COMPRESSION_THRESHOLD_BYTES = 512
"""Replies from this size are compressed. Smaller ones gain little; deltas of tables
with many account limits shrink to about a tenth."""
PLAIN, COMPRESSED = b"\0", b"\1"
REQUEST_TIMEOUT_MS = 3000
IDLE_TIMEOUT_MS = 10_000
MAX_IDLE_CONNECTIONS = 8

EXCHANGE_FAILED = register(4051, "DEBUG", "exchange with a peer failed")

RequestHandler = Callable[[ExchangeRequest], ExchangeReply]


def exchange_url(address: str) -> str:
    """Return the URL at which the exchange of the process at ``ip:port`` listens."""
    host, port = split_address(address)
    return f"tcp://{host}:{port + 1}"


class ExchangeSigner:
    """Signs and verifies requests and replies with keyed digests.

    The digest of a reply covers the nonce of its request, so a captured reply is not
    accepted for another request.
    """

    def __init__(self, key: bytes) -> None:
        self.base_digest = hashlib.blake2b(
            key=hashlib.blake2b(key, digest_size=32).digest(), digest_size=DIGEST_BYTES
        )

    def digest(self, direction: bytes, nonce: bytes, body: bytes) -> bytes:
        """Return the digest of one message."""
        state = self.base_digest.copy()
        state.update(direction + nonce + body)
        return state.digest()

    def sign_request(self, nonce: bytes, body: bytes) -> bytes:
        """Return a signed request."""
        return nonce + body + self.digest(b"request", nonce, body)

    def verify_request(self, data: bytes) -> tuple[bytes, bytes] | None:
        """Return nonce and body, or None if the digest does not match."""
        if len(data) < NONCE_BYTES + DIGEST_BYTES:
            return None
        nonce, body = data[:NONCE_BYTES], data[NONCE_BYTES:-DIGEST_BYTES]
        expected = self.digest(b"request", nonce, body)
        if not hmac.compare_digest(data[-DIGEST_BYTES:], expected):
            return None
        return nonce, body

    def sign_reply(self, nonce: bytes, body: bytes) -> bytes:
        """Return a signed reply."""
        return body + self.digest(b"reply", nonce, body)

    def verify_reply(self, nonce: bytes, data: bytes) -> bytes | None:
        """Return the body, or None if the digest does not match."""
        body = data[:-DIGEST_BYTES]
        expected = self.digest(b"reply", nonce, body)
        if not hmac.compare_digest(data[-DIGEST_BYTES:], expected):
            return None
        return body


def compress_reply(body: bytes) -> bytes:
    """Return the body of a reply as sent, compressed if it is large."""
    if len(body) < COMPRESSION_THRESHOLD_BYTES:
        return PLAIN + body
    return COMPRESSED + zlib.compress(body)


def decompress_reply(packed: bytes, peer: str) -> bytes:
    """Return the body of a reply; refuse one that exceeds the limit."""
    if packed[:1] == PLAIN:
        return packed[1:]
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed[1:], MAX_REPLY_BYTES)
    except zlib.error as error:
        raise CodecError(
            f"malformed reply: {error}", step="exchange", peer=peer
        ) from error
    if not decompressor.eof:
        raise CodecError(
            f"reply is truncated or exceeds {MAX_REPLY_BYTES} bytes",
            step="exchange",
            peer=peer,
        )
    return body


class ExchangeServer:
    """Answers the requests of peers, one at a time."""

    def __init__(
        self, address: str, key: bytes, handle_request: RequestHandler
    ) -> None:
        self.address = address
        self.signer = ExchangeSigner(key)
        self.handle_request = handle_request
        self.requests_served = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped: Counter[str] = Counter()
        self.socket: pynng.Rep0 | None = None

    def open(self) -> None:
        """Start listening."""
        self.socket = pynng.Rep0(
            recv_max_size=MAX_REQUEST_BYTES, send_timeout=REQUEST_TIMEOUT_MS
        )
        try:
            self.socket.listen(exchange_url(self.address))
        except pynng.NNGException as error:
            self.close()
            raise TransportError(
                f"cannot listen for exchanges: {error}", step="bind", peer=self.address
            ) from error

    def close(self) -> None:
        """Stop listening."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    async def run(self) -> None:
        """Serve until cancelled."""
        assert self.socket is not None, "open() must be called before run()"
        while True:
            data = await self.socket.arecv()
            self.received_bytes += len(data)
            reply = self.reply_to(data)
            if reply is None:
                continue
            try:
                await self.socket.asend(reply)
            except pynng.NNGException:
                self.dropped["peer gone"] += 1
            else:
                self.sent_bytes += len(reply)

    def reply_to(self, data: bytes) -> bytes | None:
        """Return the reply to a request, or None if its digest does not match."""
        verified = self.signer.verify_request(data)
        if verified is None:
            self.dropped["unauthenticated"] += 1
            return None
        nonce, body = verified
        try:
            reply = self.handle_request(decode_request(body, "exchange"))
        except CodecError as error:
            self.dropped["malformed"] += 1
            reply = ExchangeFailure(error.message)
        self.requests_served += 1
        return self.signer.sign_reply(nonce, compress_reply(encode(reply)))


@dataclass
class IdleConnection:
    """A connection that is kept for the next request to the same peer."""

    socket: pynng.Req0
    idle_since_ms: int


class ExchangeClient:
    """Sends requests to peers and keeps a few idle connections for reuse."""

    def __init__(self, key: bytes, clock: Clock) -> None:
        self.signer = ExchangeSigner(key)
        self.clock = clock
        self.idle: dict[str, IdleConnection] = {}
        self.sent_bytes = 0
        self.received_bytes = 0

    async def request(self, address: str, request: ExchangeRequest) -> ExchangeReply:
        """Return the reply of the process at ``address``.

        Raise ``TransportError`` or ``CodecError`` if there is no valid reply.
        """
        connection = self.idle.pop(address, None)
        socket = connection.socket if connection else None
        try:
            if socket is None:
                socket = self.connect(address)
            reply = await self.transfer(socket, address, request)
        except (pynng.NNGException, ValueError) as error:
            log_event(EXCHANGE_FAILED, peer=address, error=repr(error))
            raise TransportError(
                f"exchange failed: {error!r}", step="exchange", peer=address
            ) from error
        else:
            self.keep_idle(address, socket)
            socket = None
            return reply
        finally:
            if socket is not None:
                socket.close()

    def connect(self, address: str) -> pynng.Req0:
        """Open a connection without waiting until it is established.

        The socket has timeouts of its own, because pynng raises its own error when a
        call is cancelled, and anyio's timeouts do not recognise that error.
        """
        socket = pynng.Req0(
            recv_max_size=MAX_REPLY_BYTES,
            send_timeout=REQUEST_TIMEOUT_MS,
            recv_timeout=REQUEST_TIMEOUT_MS,
        )
        try:
            socket.dial(exchange_url(address), block=False)
        except BaseException:
            socket.close()
            raise
        return socket

    async def transfer(
        self, socket: pynng.Req0, address: str, request: ExchangeRequest
    ) -> ExchangeReply:
        """Send a request and return its reply."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        data = self.signer.sign_request(nonce, encode(request))
        await socket.asend(data)
        self.sent_bytes += len(data)
        received = await socket.arecv()
        self.received_bytes += len(received)
        body = self.signer.verify_reply(nonce, received)
        if body is None:
            raise CodecError(
                "digest of the reply does not match", step="exchange", peer=address
            )
        return decode_reply(decompress_reply(body, address), address)

    def keep_idle(self, address: str, socket: pynng.Req0) -> None:
        """Keep a connection for reuse; evict the oldest one if there are too many."""
        replaced = self.idle.pop(address, None)
        if replaced is not None:
            replaced.socket.close()
        if len(self.idle) >= MAX_IDLE_CONNECTIONS:
            oldest = next(iter(self.idle))
            self.idle.pop(oldest).socket.close()
        self.idle[address] = IdleConnection(socket, self.clock.now_ms())

    def close_idle(self) -> None:
        """Close the connections that have been idle for too long."""
        limit_ms = self.clock.now_ms() - IDLE_TIMEOUT_MS
        for address, connection in list(self.idle.items()):
            if connection.idle_since_ms <= limit_ms:
                del self.idle[address]
                connection.socket.close()

    def close(self) -> None:
        """Close all connections."""
        for connection in self.idle.values():
            connection.socket.close()
        self.idle.clear()
