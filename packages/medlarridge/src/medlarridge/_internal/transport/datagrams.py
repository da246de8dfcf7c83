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
"""Takes the address of the sender and the payload."""


@dataclass
class DatagramCounts:
    """Traffic of one socket; ``dropped`` counts by reason."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: Counter[str] = field(default_factory=Counter)


class DatagramSigner:
    """Adds and checks the keyed digest of datagrams.

    The digest covers the addresses of both ends, so a captured datagram is accepted
    neither by another process nor from another sender.
    """

    def __init__(self, key: bytes) -> None:
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"the shared key needs at least {MIN_KEY_BYTES} bytes")
        self.base = hashlib.blake2b(
            key=hashlib.blake2b(key, digest_size=32).digest(), digest_size=DIGEST_BYTES
        )

    def digest(self, source: str, destination: str, data: bytes) -> bytes:
        """Return the digest of a datagram between two addresses."""
        state = self.base.copy()
        state.update(f"{source}>{destination}|".encode())
        state.update(data)
        return state.digest()

    def sign(self, source: str, destination: str, kind: int, payload: bytes) -> bytes:
        """Return the whole datagram."""
        data = bytes((kind,)) + payload
        return data + self.digest(source, destination, data)

    def verify(
        self, source: str, destination: str, datagram: bytes
    ) -> tuple[int, bytes] | None:
        """Return kind and payload, or nothing if the digest does not match."""
        data, digest = datagram[:-DIGEST_BYTES], datagram[-DIGEST_BYTES:]
        if not data or not hmac.compare_digest(
            digest, self.digest(source, destination, data)
        ):
            return None
        return data[0], data[KIND_BYTES:]


class DatagramEndpoint:
    """One UDP socket whose datagrams go to a handler by kind."""

    def __init__(self, address: str, key: bytes) -> None:
        self.address = address
        self.signer = DatagramSigner(key)
        self.handlers: dict[int, Handler] = {}
        self.counts = DatagramCounts()
        self.socket: anyio.abc.UDPSocket | None = None
        # anyio refuses a second task that sends while the first one waits.
        self.sending = anyio.Lock(fast_acquire=True)

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
        assert self.socket is not None, "open() comes first"
        async for data, (host, port) in self.socket:
            await self.receive(f"{host}:{port}", data)

    async def receive(self, source: str, data: bytes) -> None:
        """Check one datagram and pass it on."""
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts.dropped["oversized"] += 1
            return
        opened = self.signer.verify(source, self.address, data)
        if opened is None:
            self.counts.dropped["unauthenticated"] += 1
            return
        kind, payload = opened
        handler = self.handlers.get(kind)
        if handler is None:
            self.counts.dropped["unknown kind"] += 1
            return
        try:
            await handler(source, payload)
        except MedlarridgeError:
            self.counts.dropped["malformed"] += 1
        except Exception as error:
            # One faulty handler must not silence the datagrams of all others.
            self.counts.dropped["handler failed"] += 1
            log_event(HANDLER_FAILED, kind=kind, peer=source, error=repr(error))

    async def send(self, address: str, kind: int, payload: bytes) -> None:
        """Send one datagram; it may get lost."""
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
            async with self.sending:
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
