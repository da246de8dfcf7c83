"""Copies of the store's contents that routers hand each other over HTTP.

A router that cannot reach the store asks another one that can.
"""

from typing import Generic, TypeVar

import msgspec

from medlarridge._internal.clock import Clock
from medlarridge._internal.errors import TransportError

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
"""Peers answer in a few milliseconds."""

T = TypeVar("T")


class Copy(msgspec.Struct, Generic[T], frozen=True):
    """What a router holds, and how long ago the store confirmed it."""

    content: T
    age_ms: int


class PeerCopies:
    """Asks peers for copies, and hands out copies."""

    def __init__(self, parts: RouterParts, peers: PeerTable, clock: Clock) -> None:
        self.parts = parts
        self.peers = peers
        self.clock = clock
        self.clients: dict[Address, HttpClient] = {}

    async def servers(self) -> tuple[ServerListing, int] | None:
        """Return a newer server list of a peer, and when it was the newest."""
        read_ms = self.parts.servers.read_ms or 0
        for peer in self.peers.with_newest_list():
            if peer.list_confirmed_ms <= read_ms:
                return None
            copy = await self.ask(peer, SERVERS_PATH, Copy[ServerListing])
            if copy is not None:
                return copy
        return None

    async def configuration(self) -> tuple[Configuration, int] | None:
        """Return a newer configuration of a peer, and when it was the newest."""
        for peer in self.peers.with_newest_configuration():
            if peer.configuration <= self.parts.configuration.revision:
                return None
            copy = await self.ask(peer, CONFIGURATION_PATH, Copy[Configuration])
            if copy is not None:
                return copy
        return None

    async def ask(
        self, peer: Peer, path: bytes, kind: type[Copy[T]]
    ) -> tuple[T, int] | None:
        """Ask a peer; None if it does not answer."""
        client = self.clients.setdefault(peer.address, HttpClient(*peer.address))
        asked_ms = self.clock.now_ms()
        try:
            body = await client.get(path, CALL_TIMEOUT_MS)
            copy = msgspec.msgpack.decode(body or b"", type=kind)
        except (TransportError, msgspec.DecodeError):
            # The next peer or the store has the same.
            return None
        return copy.content, asked_ms - copy.age_ms

    async def answer(self, request: ClientRequest, answer: AnswerWriter) -> None:
        """Hand out a copy."""
        servers, holder = self.parts.servers, self.parts.configuration
        copy: Copy | None = None
        if request.target == SERVERS_PATH and servers.listing is not None:
            copy = Copy(servers.listing, servers.age_ms() or 0)
        elif request.target == CONFIGURATION_PATH and holder.current is not None:
            copy = Copy(holder.current, holder.age_ms() or 0)
        if copy is None:
            answer.send(404, b"", b"")
        else:
            answer.send(200, b"", msgspec.msgpack.encode(copy))
