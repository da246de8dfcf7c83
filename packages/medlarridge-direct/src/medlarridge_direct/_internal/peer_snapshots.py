"""Snapshots of the store's contents that routers serve each other over HTTP.

A router requests them if it cannot reach the store or if a peer has newer contents.
"""

import zlib
from typing import TypeVar

import msgspec

from medlarridge._internal.clock import Clock
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .logs import SNAPSHOT_FAILED, Log
from .protocol.configuration import Configuration
from .protocol.requests import ClientRequest
from .protocol.servers import ServerListing
from .state.peer_table import Address, Peer, PeerTable
from .transport.http_client import HttpClient
from .transport.response_writer import ResponseWriter

SERVERS_PATH = b"/servers"
CONFIGURATION_PATH = b"/configuration"
CALL_TIMEOUT_MS = 500
"""Read timeout of a request to a peer, which responds in a few milliseconds."""

COMPRESSION_LEVEL = 1
"""The fastest level; configurations are repetitive enough for it."""

MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024
"""Size of unpacked content above which a snapshot is refused."""

T = TypeVar("T")


class Snapshot(msgspec.Struct, frozen=True):
    """Compressed content of the store and how long ago the store confirmed it."""

    content: bytes
    age_ms: int


def encode_content(content: object) -> bytes:
    """Encode and compress content; slow links transfer it in a tenth of the time."""
    return zlib.compress(msgspec.msgpack.encode(content), COMPRESSION_LEVEL)


def decode_content(
    content: bytes, as_type: type[T], max_bytes: int = MAX_SNAPSHOT_BYTES
) -> T:
    """Decode content; raise ``DecodeError`` or ``zlib.error`` if it is malformed.

    It may unpack to ``max_bytes``.
    """
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(content, max_bytes)
    if not unpacker.eof:
        raise msgspec.DecodeError("content is too large or incomplete")
    return msgspec.msgpack.decode(unpacked, type=as_type)


class PeerSnapshots:
    """Requests snapshots from peers and serves them to peers."""

    def __init__(
        self, components: RouterComponents, peers: PeerTable, clock: Clock, log: Log
    ) -> None:
        self.components = components
        self.peers = peers
        self.clock = clock
        self.log = log
        self.last_encoded: tuple[Configuration | None, bytes] = (None, b"")
        self.clients: dict[Address, HttpClient] = {}

    async def fetch_servers(self) -> tuple[ServerListing, int] | None:
        """Return a peer's newer server list and when it was confirmed, or None."""
        for peer in self.peers.by_newest_list():
            if peer.list_revision <= self.components.servers.revision:
                return None
            snapshot = await self.request_snapshot(peer, SERVERS_PATH, ServerListing)
            if snapshot is not None:
                return snapshot
        return None

    async def fetch_configuration(self) -> tuple[Configuration, int] | None:
        """Return a peer's newer configuration and when it was confirmed, or None."""
        for peer in self.peers.by_newest_configuration():
            if peer.configuration_version <= self.components.configuration.version:
                return None
            snapshot = await self.request_snapshot(
                peer, CONFIGURATION_PATH, Configuration
            )
            if snapshot is not None:
                return snapshot
        return None

    async def request_snapshot(
        self, peer: Peer, path: bytes, as_type: type[T]
    ) -> tuple[T, int] | None:
        """Return a snapshot's content and when it was confirmed, or None on failure."""
        client = self.clients.get(peer.address)
        if client is None:
            client = HttpClient(*peer.address, memory=self.components.memory)
            self.clients[peer.address] = client
        requested_ms = self.clock.now_ms()
        try:
            body = (await client.get(path, CALL_TIMEOUT_MS)).body
            self.count_bytes("received", path, len(body))
            snapshot = msgspec.msgpack.decode(body, type=Snapshot)
            max_bytes = min(self.components.memory.control_left(), MAX_SNAPSHOT_BYTES)
            content = decode_content(snapshot.content, as_type, max(max_bytes, 1))
            return content, requested_ms - snapshot.age_ms
        except (
            TransportError,
            msgspec.DecodeError,
            RecursionError,
            zlib.error,
        ) as error:
            # The caller asks the next peer or the store instead.
            self.log.event(
                SNAPSHOT_FAILED, peer=client.host, path=path.decode(), error=str(error)
            )
            return None

    async def handle(self, request: ClientRequest, response: ResponseWriter) -> None:
        """Serve a snapshot, or 404 if nothing is known yet."""
        servers, holder = self.components.servers, self.components.configuration
        content: bytes | None = None
        age_ms: int | None = None
        if request.target == SERVERS_PATH and servers.listing is not None:
            listing = self.components.cold_servers.aged(servers.listing)
            content, age_ms = encode_content(listing), servers.age_ms()
        elif request.target == CONFIGURATION_PATH and holder.current is not None:
            content, age_ms = (
                self.encoded_configuration(holder.current),
                holder.age_ms(),
            )
        if content is None:
            response.send(404, b"", b"")
        else:
            body = msgspec.msgpack.encode(Snapshot(content, age_ms or 0))
            self.count_bytes("sent", request.target, len(body))
            response.send(200, b"", body)

    def count_bytes(self, direction: str, path: bytes, size: int) -> None:
        """Count the bytes of a snapshot in the metrics."""
        kind = path.decode().removeprefix("/")
        self.components.metrics.control_bytes[direction, kind] += size

    def encoded_configuration(self, configuration: Configuration) -> bytes:
        """Return the encoded configuration, which is encoded only once."""
        encoded, content = self.last_encoded
        if encoded is not configuration:
            content = encode_content(configuration)
            self.last_encoded = configuration, content
        return content
