"""Exchange of news with the other routers."""

import asyncio
from collections.abc import Callable

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import CodecError

from .coordination.crash_detector import Strike
from .logs import PEER_FOUND, PEER_LOST, STRIKE, Log
from .parts import RouterParts
from .protocol.peer_messages import Report, decode_report, encode_report
from .state.peer_table import Address, PeerTable
from .transport.datagrams import DatagramSocket

REPORT_MS = 100
REPORT_PER_PEER_MS = 8
"""Interval of reports, and how much longer it is for each peer: a router sends and
takes at most 125 datagrams a second, however many peers it has."""

MAX_HELD = 200
"""Prompt parts in one report, so that it fits a few packets."""

BACKLOG_MS = 20
"""Interval of reports while more prompt parts wait than one report holds."""

TELLERS = 2
"""Routers that tell a new one what servers hold; one report may be lost."""


class PeerNews:
    """Sends reports to peers and takes theirs."""

    def __init__(
        self,
        parts: RouterParts,
        peers: PeerTable,
        log: Log,
        stopping: Callable[[], bool],
    ) -> None:
        self.parts = parts
        self.peers = peers
        self.log = log
        self.stopping = stopping
        self.socket = DatagramSocket(self.take_datagram)
        self.held: list[tuple[str, str]] = []
        self.strikes: list[tuple[int, str]] = []
        self.sequence = 0
        self.live: set[Address] = set()
        self.malformed = 0

    async def open(self, address: Address) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.socket, local_addr=address)

    async def run(self) -> None:
        """Report at an interval that grows with the number of peers."""
        while True:
            self.send_report()
            self.note_live()
            self.peers.remove_silent()
            pause_ms = BACKLOG_MS if self.held else self.interval_ms()
            await asyncio.sleep(pause_ms / MS_PER_S)

    def interval_ms(self) -> int:
        """Return the interval of reports."""
        return max(REPORT_MS, REPORT_PER_PEER_MS * len(self.peers.peers))

    def announce_held(self, held: list[tuple[str, str]]) -> None:
        """Announce to peers with the next report which servers hold prompt parts."""
        self.held += held

    def announce_strikes(self, strikes: list[Strike]) -> None:
        """Announce to peers at once requests that were running when a server went down."""
        self.strikes += [(strike.fingerprint, strike.server) for strike in strikes]
        self.send_report()

    def send_report(self) -> None:
        """Send a report to all peers."""
        if not self.peers.peers:
            self.held.clear()
            self.strikes.clear()
            return
        self.sequence += 1
        held, self.held = self.held[:MAX_HELD], self.held[MAX_HELD:]
        strikes, self.strikes = self.strikes, []
        data = encode_report(self.report(held, strikes))
        for address in self.peers.peers:
            self.socket.send(data, address)

    def report(
        self, held: list[tuple[str, str]], strikes: list[tuple[int, str]]
    ) -> Report:
        """Return the router's state as a report."""
        servers, configuration = self.parts.servers, self.parts.configuration
        return Report(
            router_id=self.peers.own_router_id,
            sequence=self.sequence,
            stopping=self.stopping(),
            in_flight=self.parts.load.own,
            cached_parts=held,
            strikes=strikes,
            list_digest=servers.digest,
            list_age_ms=age_or_never(servers.age_ms()),
            configuration_revision=configuration.revision,
            configuration_age_ms=age_or_never(configuration.age_ms()),
            cache_index_synced=self.parts.placement.cache_index.synced,
            store_reachable=self.peers.store_reachable,
            unreachable=self.parts.health.unreachable_instances(),
            configuration_watched_revision=configuration.watched_revision,
        )

    def take_datagram(self, data: bytes, address: Address) -> None:
        """Process the report of a peer."""
        try:
            report = decode_report(data)
        except CodecError:
            self.malformed += 1
            return
        new = self.peers.is_new_router(address, report.router_id)
        if not self.peers.apply_report(address, report):
            return
        if new:
            self.tell_new_router()
        self.parts.load.apply_report(report.router_id, report.in_flight)
        for part_id, instance in report.cached_parts:
            self.parts.placement.cache_index.record(part_id, instance)
        for fingerprint, server in report.strikes:
            if self.parts.guard.add_strike(fingerprint, server):
                self.log.event(
                    STRIKE, fingerprint=f"{fingerprint:016x}", server=server, peer=True
                )
        for instance in report.unreachable:
            self.parts.health.record_peer_unreachable(instance)
        self.take_store_news(report)

    def tell_new_router(self) -> None:
        """Announce all that servers hold, for a router that has just started."""
        cache = self.parts.placement.cache_index
        if cache.synced and self.peers.store_reader_rank() < TELLERS:
            self.held = cache.entries()

    def take_store_news(self, report: Report) -> None:
        """Confirm what a peer has confirmed, or read the store if it knows more."""
        now_ms = self.parts.clock.now_ms()
        servers, configuration = self.parts.servers, self.parts.configuration
        if report.configuration_age_ms >= 0:
            if report.configuration_revision == configuration.revision:
                configuration.confirm(now_ms - report.configuration_age_ms)
            configuration.record_peer_revision(
                report.configuration_revision, report.configuration_watched_revision
            )
        if report.list_age_ms >= 0:
            confirmed_ms = now_ms - report.list_age_ms
            if report.list_digest == servers.digest:
                servers.confirm(confirmed_ms)
            elif confirmed_ms > (servers.read_ms or 0):
                servers.outdated = True

    def note_live(self) -> None:
        """Log peers that were found or lost, and count the routers."""
        live = {peer.address for peer in self.peers.live_peers()}
        for address in live - self.live:
            self.log.event(PEER_FOUND, peer=f"{address[0]}:{address[1]}")
        for address in self.live - live:
            self.log.event(PEER_LOST, peer=f"{address[0]}:{address[1]}")
        self.live = live
        self.parts.budget.router_count = len(live) + 1


def age_or_never(age_ms: int | None) -> int:
    """Return an age, or -1 if there is none."""
    return -1 if age_ms is None else max(age_ms, 0)
