"""Copies of the store's contents that routers hand each other over HTTP.

A router that cannot reach the store asks another one that can.
"""

import zlib
from typing import TypeVar

import msgspec

from medlarridge._internal.clock import Clock
from medlarridge._internal.errors import TransportError

from .logs import COPY_FAILED, Log
from .parts import RouterParts
from .protocol.configuration import Configuration
from .protocol.requests import ClientRequest
from .protocol.servers import ServerListing
from .state.peer_table import Address, Peer, PeerTable
from .transport.client_connection import AnswerWriter
from .transport.http_client import HttpClient

SERVERS_PATH = b"/servers"
CONFIGURATION_PATH = b"/configuration"
CALL_TIMEOUT_MS = 500
"""Silence after which a peer is given up; it answers in a few milliseconds."""

COMPRESSION_LEVEL = 1
"""The fastest; configurations repeat the same words."""

T = TypeVar("T")


class Copy(msgspec.Struct, frozen=True):
    """What a router holds, compressed, and how long ago the store confirmed it."""

    content: bytes
    age_ms: int


def pack(content: object) -> bytes:
    """Return the content of a copy; small links carry it in a tenth of the time."""
    return zlib.compress(msgspec.msgpack.encode(content), COMPRESSION_LEVEL)


def unpack(content: bytes, kind: type[T]) -> T:
    """Return what a copy holds; raises ``DecodeError`` or ``zlib.error``."""
    return msgspec.msgpack.decode(zlib.decompress(content), type=kind)


class PeerCopies:
    """Asks peers for copies, and hands out copies."""

    def __init__(
        self, parts: RouterParts, peers: PeerTable, clock: Clock, log: Log
    ) -> None:
        self.parts = parts
        self.peers = peers
        self.clock = clock
        self.log = log
        self.packed = (0, b"")
        self.clients: dict[Address, HttpClient] = {}

    async def servers(self) -> tuple[ServerListing, int] | None:
        """Return a newer server list of a peer, and when it was the newest."""
        read_ms = self.parts.servers.read_ms or 0
        for peer in self.peers.by_newest_list():
            if peer.list_confirmed_ms <= read_ms:
                return None
            copy = await self.ask(peer, SERVERS_PATH, ServerListing)
            if copy is not None:
                return copy
        return None

    async def configuration(self) -> tuple[Configuration, int] | None:
        """Return a newer configuration of a peer, and when it was the newest."""
        for peer in self.peers.by_newest_configuration():
            if peer.configuration_revision <= self.parts.configuration.revision:
                return None
            copy = await self.ask(peer, CONFIGURATION_PATH, Configuration)
            if copy is not None:
                return copy
        return None

    async def ask(self, peer: Peer, path: bytes, kind: type[T]) -> tuple[T, int] | None:
        """Ask a peer; None if it does not answer."""
        client = self.clients.setdefault(peer.address, HttpClient(*peer.address))
        asked_ms = self.clock.now_ms()
        try:
            body = await client.get(path, CALL_TIMEOUT_MS)
            copy = msgspec.msgpack.decode(body or b"", type=Copy)
            return unpack(copy.content, kind), asked_ms - copy.age_ms
        except (TransportError, msgspec.DecodeError, zlib.error) as error:
            # The next peer or the store has the same.
            self.log.event(
                COPY_FAILED, peer=client.host, path=path.decode(), error=str(error)
            )
            return None

    async def answer(self, request: ClientRequest, answer: AnswerWriter) -> None:
        """Hand out a copy."""
        servers, holder = self.parts.servers, self.parts.configuration
        content: bytes | None = None
        age_ms: int | None = None
        if request.target == SERVERS_PATH and servers.listing is not None:
            content, age_ms = pack(servers.listing), servers.age_ms()
        elif request.target == CONFIGURATION_PATH and holder.current is not None:
            content, age_ms = self.packed_configuration(holder.current), holder.age_ms()
        if content is None:
            answer.send(404, b"", b"")
        else:
            answer.send(200, b"", msgspec.msgpack.encode(Copy(content, age_ms or 0)))

    def packed_configuration(self, configuration: Configuration) -> bytes:
        """Return the packed configuration; it is packed once a revision."""
        revision, content = self.packed
        if revision != configuration.revision:
            content = pack(configuration)
            self.packed = configuration.revision, content
        return content
