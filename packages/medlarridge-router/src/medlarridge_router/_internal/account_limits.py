"""Runs the account limiter of a router: homes, datagrams and the report timer."""

from collections.abc import Hashable, Iterable
from random import Random
from typing import Protocol

import anyio
import msgspec

from medlarridge._internal.clock import MS_PER_S, Clock
from medlarridge._internal.coordination.account_limits import (
    REPORT_INTERVAL_MS,
    AccountLimiter,
    LimitDirectory,
    LimitKey,
    Outgoing,
    Throttled,
)
from medlarridge._internal.coordination.placement import Placement
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.identity import Instance, Member
from medlarridge._internal.node import LIMIT_DATAGRAM
from medlarridge._internal.protocol.codec import decode_message
from medlarridge._internal.protocol.limits import LimitMessage
from medlarridge._internal.protocol.tables import AccountLimit

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LimitMessage)


class RouterPeers(Protocol):
    """Live routers of the fleet and datagrams to them."""

    @property
    def revision(self) -> Hashable:
        """Return a value that changes whenever the routers change."""
        ...

    def routers(self) -> list[Member]:
        """Return the live routers, this one included."""
        ...

    async def send(self, address: str, kind: int, payload: bytes) -> None:
        """Send a datagram, which may be lost."""
        ...


class FleetLimitDirectory(LimitDirectory):
    """Looks up homes by rendezvous hashing and limits in the current tables."""

    def __init__(
        self, own_address: str, fleet: FleetView, peers: RouterPeers, random: Random
    ) -> None:
        self.own_address = own_address
        self.fleet = fleet
        self.peers = peers
        self.random = random
        self.placement = Placement()
        self.revision: Hashable = None

    def current_placement(self) -> Placement:
        """Return the placement over the live routers."""
        if self.revision != self.peers.revision:
            self.revision = self.peers.revision
            self.placement = Placement(self.peers.routers())
        return self.placement

    def home_of(self, key: LimitKey) -> str:
        """Return the address of the home of an account, empty without live routers."""
        ranked = self.current_placement().rank(f"{key.route}\0{key.account}", 1)
        return ranked[0].instance.address if ranked else ""

    def limit_of(self, key: LimitKey) -> AccountLimit | None:
        """Return the limit of an account, ``None`` if it has none."""
        route = self.fleet.tables.routes.get(key.route)
        if route is None:
            return None
        return route.account_limits.get(key.account, route.account_limit)

    def random_peers(self, count: int) -> list[str]:
        """Return the addresses of random other live routers."""
        others = [
            member.instance.address
            for member in self.current_placement().members
            if member.instance.address != self.own_address
        ]
        return self.random.sample(others, min(count, len(others)))


class AccountLimits:
    """Runs the account limiter of one router."""

    def __init__(
        self,
        instance: Instance,
        fleet: FleetView,
        peers: RouterPeers,
        clock: Clock,
        random: Random,
    ) -> None:
        self.peers = peers
        directory = FleetLimitDirectory(instance.address, fleet, peers, random)
        self.limiter = AccountLimiter(
            clock, random, instance.address, instance.number, directory
        )

    def retry_after_ms(self, route: str, account: str) -> int:
        """Count a request; return the time to wait if it exceeds the limit, else 0."""
        decision = self.limiter.admit(route, account)
        return decision.retry_after_ms if isinstance(decision, Throttled) else 0

    async def run(self) -> None:
        """Report usage and renew throttles once per second."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_MS / MS_PER_S)
            await self.send_all(self.limiter.tick())

    async def receive(self, source: str, payload: bytes) -> None:
        """Handle a datagram from the limiter of another router."""
        message = decode_message(_decoder, payload, source)
        await self.send_all(self.limiter.receive(message))

    async def send_all(self, outgoing: Iterable[Outgoing]) -> None:
        """Send the limiter's messages."""
        for item in outgoing:
            await self.peers.send(
                item.to, LIMIT_DATAGRAM, _encoder.encode(item.message)
            )
