"""Authenticated datagrams over UDP."""

import hashlib
import hmac
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc

from ..errors import MedlarridgeError, TransportError
from ..events import register as register_event
from ..log import log_event

MAX_DATAGRAM_BYTES = 400
DIGEST_BYTES = 8
KIND_BYTES = 1
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - DIGEST_BYTES - KIND_BYTES
MIN_KEY_BYTES = 16

HANDLER_FAILED = register_event(4050, "ERROR", "datagram handler failed")

Handler = Callable[[str, bytes], Awaitable[None]]
"""Called with the address of the sender and the payload."""


@dataclass
class DatagramCounts:
    """Traffic of one socket; ``dropped`` counts datagrams by reason."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: Counter[str] = field(default_factory=Counter)


class DatagramSigner:
    """Signs and verifies datagrams with a keyed digest.

    The digest covers the addresses of both ends, so a captured datagram is accepted
    neither by another process nor from another sender.
    """

    def __init__(self, key: bytes) -> None:
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"the shared key needs at least {MIN_KEY_BYTES} bytes")
        self.base_digest = hashlib.blake2b(
            key=hashlib.blake2b(key, digest_size=32).digest(), digest_size=DIGEST_BYTES
        )

    def digest(self, source: str, destination: str, data: bytes) -> bytes:
        """Return the digest of a datagram between two addresses."""
        state = self.base_digest.copy()
        state.update(f"{source}>{destination}|".encode())
        state.update(data)
        return state.digest()

    def sign(self, source: str, destination: str, kind: int, payload: bytes) -> bytes:
        """Return the signed datagram."""
        data = bytes((kind,)) + payload
        return data + self.digest(source, destination, data)

    def verify(
        self, source: str, destination: str, datagram: bytes
    ) -> tuple[int, bytes] | None:
        """Return kind and payload, or None if the digest does not match."""
        data, digest = datagram[:-DIGEST_BYTES], datagram[-DIGEST_BYTES:]
        if not data or not hmac.compare_digest(
            digest, self.digest(source, destination, data)
        ):
            return None
        return data[0], data[KIND_BYTES:]


class DatagramEndpoint:
    """One UDP socket that passes datagrams to the handler of their kind."""

    def __init__(self, address: str, key: bytes) -> None:
        self.address = address
        self.signer = DatagramSigner(key)
        self.handlers: dict[int, Handler] = {}
        self.counts = DatagramCounts()
        self.socket: anyio.abc.UDPSocket | None = None
        # anyio raises BusyResourceError if two tasks send at the same time.
        self.send_lock = anyio.Lock(fast_acquire=True)

    def register(self, kind: int, handler: Handler) -> None:
        """Register the handler of a kind of datagram."""
        if not 0 <= kind <= 255:
            raise ValueError(f"datagram kind {kind} is not a byte")
        if kind in self.handlers:
            raise ValueError(f"datagram kind {kind} is registered twice")
        self.handlers[kind] = handler

    async def open(self) -> None:
        """Bind the socket."""
        host, port = split_address(self.address)
        try:
            self.socket = await anyio.create_udp_socket(
                local_host=host, local_port=port
            )
        except OSError as error:
            raise TransportError(
                f"cannot bind UDP socket: {error}", step="bind", peer=self.address
            ) from error

    async def close(self) -> None:
        """Close the socket."""
        if self.socket is not None:
            await self.socket.aclose()
            self.socket = None

    async def run(self) -> None:
        """Pass received datagrams to their handlers until cancelled."""
        assert self.socket is not None, "open() must be called before run()"
        async for data, (host, port) in self.socket:
            await self.receive(f"{host}:{port}", data)

    async def receive(self, source: str, data: bytes) -> None:
        """Verify one datagram and pass it to its handler."""
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts.dropped["oversized"] += 1
            return
        verified = self.signer.verify(source, self.address, data)
        if verified is None:
            self.counts.dropped["unauthenticated"] += 1
            return
        kind, payload = verified
        handler = self.handlers.get(kind)
        if handler is None:
            self.counts.dropped["unknown kind"] += 1
            return
        try:
            await handler(source, payload)
        except MedlarridgeError:
            self.counts.dropped["malformed"] += 1
        except Exception as error:
            # An error in one handler must not end the receive loop for the others.
            self.counts.dropped["handler failed"] += 1
            log_event(HANDLER_FAILED, kind=kind, peer=source, error=repr(error))

    async def send(self, address: str, kind: int, payload: bytes) -> None:
        """Send one datagram; delivery is not guaranteed."""
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise TransportError(
                f"payload of {len(payload)} bytes exceeds {MAX_PAYLOAD_BYTES}",
                step="send datagram",
                peer=address,
            )
        if self.socket is None:
            return
        data = self.signer.sign(self.address, address, kind, payload)
        try:
            async with self.send_lock:
                await self.socket.sendto(data, *split_address(address))
        except (OSError, ValueError, anyio.ClosedResourceError):
            self.counts.dropped["send failed"] += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
