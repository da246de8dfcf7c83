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
from .state.peer_table import Address, PeerTable
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
        """Return a peer's server list and when it was the newest."""
        return await self.ask(SERVERS_PATH, Copy[ServerListing])

    async def configuration(self) -> tuple[Configuration, int] | None:
        """Return a peer's configuration and when it was the newest."""
        return await self.ask(CONFIGURATION_PATH, Copy[Configuration])

    async def ask(self, path: bytes, kind: type[Copy[T]]) -> tuple[T, int] | None:
        """Ask the first live peer that reaches the store; None if none answers."""
        for peer in self.peers.live():
            if not peer.store_reachable:
                continue
            client = self.clients.setdefault(peer.address, HttpClient(*peer.address))
            asked_ms = self.clock.now_ms()
            try:
                body = await client.get(path, CALL_TIMEOUT_MS)
                copy = msgspec.msgpack.decode(body or b"", type=kind)
            except (TransportError, msgspec.DecodeError):
                continue
            return copy.content, asked_ms - copy.age_ms
        return None

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
