"""Exchange of state reports with the other routers."""

import asyncio
from collections.abc import Callable, Sequence

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import CodecError

from .components import RouterComponents
from .coordination.crash_detector import Strike
from .coordination.part_crashes import PartCrash
from .coordination.prompt_cache_index import MAX_PARTS
from .coordination.send_pacer import SendPacer, control_bytes_per_s
from .crash_evidence_exchange import CrashEvidence, CrashEvidenceExchange
from .logs import (
    PEER_FOUND,
    PEER_LOST,
    REPORTS_HELD_BACK,
    RETRY_SHARE_CHANGED,
    Log,
)
from .protocol.peer_messages import (
    Departure,
    KeptPermits,
    Report,
    ReportedLimit,
    ReportedSlowness,
    StreamGroup,
    decode_report,
    encode_report,
)
from .protocol.permit_messages import is_permit_message
from .report_application import ReportApplication
from .state.peer_table import Address, PeerTable
from .stream_announcements import StreamAnnouncements
from .transport.datagrams import DatagramSocket

REPORT_INTERVAL_MS = 100
INTERVAL_PER_PEER_MS = 8
"""Minimum interval of periodic reports, in total and per peer: a router sends and
receives at most 125 of their datagrams a second, however many peers it has."""

MAX_PARTS_PER_REPORT = 200
"""Limit of the prompt parts in one report, so that it fits into a few packets."""

MAX_PENDING_PARTS = 2 * MAX_PARTS
"""Queued parts beyond which the oldest are dropped. Clients choose how many parts a
prompt has, and reports send them at a bounded rate."""

BACKLOG_INTERVAL_MS = 20
"""Minimum interval of reports while something is left over from the last one."""

DEPARTURE_REPEAT_MS = 1_000
"""Time for which reports repeat that a server left, since single reports may be
lost."""

MAX_NOTICES_PER_REPORT = 60
"""Limit of the statements of servers of each kind in one report."""

MAX_COLD_PER_REPORT = 200
"""Limit of the cold servers in one report: those of a large pool that lost its power."""

NOTICE_REPORTS = 4
"""Reports in an interval that are sent early because of what a server has said."""

DEFAULT_LINK_MBPS = 1_000.0
"""Speed of the link if it is not known."""

MAX_CATCH_UP_SENDERS = 2
"""Number of routers that send all cached parts and all known streams to a new router,
since reports of one may be lost."""


NO_EVIDENCE = CrashEvidence([], [], [], [], [])


def ignore_kept_permits(kept: KeptPermits) -> None:
    """Do nothing about permits that a peer gives out."""


class PeerReports:
    """Sends reports to peers and applies theirs."""

    def __init__(
        self,
        components: RouterComponents,
        peers: PeerTable,
        log: Log,
        is_stopping: Callable[[], bool],
        link_mbps: float = DEFAULT_LINK_MBPS,
    ) -> None:
        self.components = components
        self.pacer = SendPacer(components.clock, control_bytes_per_s(link_mbps))
        self.peers = peers
        self.log = log
        self.is_stopping = is_stopping
        self.socket = DatagramSocket(self.handle_datagram)
        self.pending_parts: list[tuple[str, str]] = []
        self.pending_processed_parts: list[tuple[str, str]] = []
        self.part_handovers: dict[Address, list[tuple[str, str]]] = {}
        self.delayed_report: asyncio.TimerHandle | None = None
        self.crash_evidence = CrashEvidenceExchange(components, log)
        self.application = ReportApplication(components, self.crash_evidence, log)
        self.streams = StreamAnnouncements(components.stream_origins)
        self.departures: list[tuple[int, Departure]] = []
        self.notice_reported_ms = 0
        self.kept_permits: Callable[[], list[KeptPermits]] = list
        self.on_kept_permits: Callable[[KeptPermits], None] = ignore_kept_permits
        self.sequence = 0
        self.live_addresses: set[Address] = set()
        self.malformed_reports = 0
        self.logged_slack_share: float | None = None

    async def open(self, address: Address) -> None:
        """Open the UDP socket at an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.socket, local_addr=address)

    async def run(self) -> None:
        """Send reports at an interval that grows with the number of peers."""
        while True:
            self.send_report()
            self.update_live_peers()
            self.peers.remove_silent()
            await self.send_backlog(self.components.clock.now_ms() + self.interval_ms())

    async def send_backlog(self, end_ms: int) -> None:
        """Send what the last report left over, as the link allows, until ``end_ms``."""
        clock = self.components.clock
        is_left_over = self.has_pending_parts
        while (left_ms := end_ms - clock.now_ms()) > 0:
            if not is_left_over and not self.has_handovers:
                await asyncio.sleep(left_ms / MS_PER_S)
                return
            pause_ms = max(BACKLOG_INTERVAL_MS, self.pacer.delay_ms())
            await asyncio.sleep(min(pause_ms, left_ms) / MS_PER_S)
            if pause_ms >= left_ms:
                return
            if is_left_over:
                self.send_report()
                is_left_over = self.has_pending_parts
            else:
                self.send_handovers()

    def interval_ms(self) -> int:
        """Return the interval of reports."""
        return max(REPORT_INTERVAL_MS, INTERVAL_PER_PEER_MS * len(self.peers.peers))

    def announce_cached_parts(self, cached_parts: list[tuple[str, str]]) -> None:
        """Queue pairs of a part and a server that was sent it for the next reports.

        The oldest are dropped when there are more than the cache index keeps.
        """
        self.pending_parts += cached_parts
        if len(self.pending_parts) > MAX_PENDING_PARTS:
            del self.pending_parts[:-MAX_PARTS]

    def announce_processed_parts(self, parts: list[tuple[str, str]]) -> None:
        """Queue pairs of a part and a server that has it for the next reports."""
        self.pending_processed_parts = parts

    def announce_departures(self, departures: list[Departure]) -> None:
        """Report at once, and again for a while, which servers left the list.

        A list is fetched over a connection, where it may wait behind other content.
        """
        now_ms = self.components.clock.now_ms()
        self.departures += [(now_ms, departure) for departure in departures]
        self.send_soon()

    def announce_notice(self) -> None:
        """Report at once what a server has said, unless that was done a moment ago."""
        now_ms = self.components.clock.now_ms()
        if now_ms - self.notice_reported_ms >= self.interval_ms() / NOTICE_REPORTS:
            self.notice_reported_ms = now_ms
            self.send_soon()

    def recent_departures(self) -> list[Departure]:
        """Return the departures that are still reported.

        These include servers that an older copy of the store shows as ready.
        """
        oldest_ms = self.components.clock.now_ms() - DEPARTURE_REPEAT_MS
        self.departures = [each for each in self.departures if each[0] >= oldest_ms]
        return [
            *(departure for _, departure in self.departures),
            *self.components.servers.left.ignored_departures(),
        ]

    def announce_crash_evidence(self, evidence: list[Strike | PartCrash]) -> None:
        """Report at once the requests that were running when a server went down."""
        if evidence:
            self.crash_evidence.add_news(evidence)
            self.crash_evidence.begin_repeating()
            self.send_soon()

    def announce_changed_parts(self) -> None:
        """Report at once which suspected parts were tried or answered."""
        self.crash_evidence.begin_repeating()
        self.send_soon()

    def send_soon(self) -> None:
        """Send a report to all peers at once, or as soon as the link allows.

        What is announced meanwhile goes with the same report.
        """
        delay_ms = self.pacer.delay_ms()
        if delay_ms == 0:
            self.send_report()
        elif self.delayed_report is None:
            self.log.request_event(
                REPORTS_HELD_BACK, for_ms=delay_ms, peers=len(self.peers.peers)
            )
            loop = asyncio.get_running_loop()
            self.delayed_report = loop.call_later(
                delay_ms / MS_PER_S, self.send_delayed_report
            )

    def send_delayed_report(self) -> None:
        """Send the report that had to wait for the link."""
        self.delayed_report = None
        self.send_soon()

    def send_report(self) -> None:
        """Send a report to all peers, then what single peers are told."""
        if self.delayed_report is not None:
            self.delayed_report.cancel()
            self.delayed_report = None
        if not self.peers.peers:
            self.pending_parts.clear()
            self.pending_processed_parts.clear()
            self.streams.clear()
            return
        self.sequence += 1
        cached_parts, self.pending_parts = take_first(
            self.pending_parts, MAX_PARTS_PER_REPORT
        )
        processed_parts, self.pending_processed_parts = take_first(
            self.pending_processed_parts, MAX_PARTS_PER_REPORT - len(cached_parts)
        )
        report = self.build_report(
            cached_parts,
            processed_parts,
            self.streams.next_groups(),
            self.crash_evidence.next_news(),
            self.components.capacity.reported_slowness(),
        )
        self.send_to(report, list(self.peers.peers))
        self.send_evidence_handovers()
        self.send_handovers()

    @property
    def has_pending_parts(self) -> bool:
        """Return whether cached parts wait for the next report to all peers."""
        return bool(self.pending_parts or self.pending_processed_parts)

    @property
    def has_handovers(self) -> bool:
        """Return whether a peer is still to be told what all others know."""
        return bool(self.part_handovers or self.streams.handovers)

    def send_evidence_handovers(self) -> None:
        """Tell peers that may know none all crash evidence, as far as the link allows."""
        for address in list(self.crash_evidence.handovers):
            evidence = self.crash_evidence.next_handover(address)
            self.sequence += 1
            self.send_to(self.build_report([], [], [], evidence), [address])
            if self.pacer.delay_ms():
                return

    def send_handovers(self) -> None:
        """Tell new peers what the others know, as far as the link allows, at least once."""
        while self.has_handovers:
            self.send_handover()
            if self.pacer.delay_ms():
                return

    def send_handover(self) -> None:
        """Tell one new peer the next cached parts and streams; peers take turns."""
        address = next(iter({**self.part_handovers, **self.streams.handovers}))
        parts, left = take_first(
            self.part_handovers.pop(address, []), MAX_PARTS_PER_REPORT
        )
        if left:
            self.part_handovers[address] = left
        self.sequence += 1
        groups = self.streams.next_handover(address)
        self.send_to(self.build_report([], parts, groups), [address])

    def send_to(self, report: Report, addresses: list[Address]) -> None:
        """Send a report to some peers."""
        data = encode_report(report)
        for address in addresses:
            self.socket.send(data, address)
        control_bytes = self.components.metrics.control_bytes
        control_bytes["sent", "report"] += len(data) * len(addresses)
        self.pacer.record(len(data) * len(addresses))

    def build_report(
        self,
        cached_parts: list[tuple[str, str]],
        processed_parts: list[tuple[str, str]],
        streams: list[StreamGroup],
        evidence: CrashEvidence = NO_EVIDENCE,
        slow_servers: Sequence[ReportedSlowness] = (),
    ) -> Report:
        """Return the router's state as a report.

        ``slow_servers`` goes to all peers once; a peer that gets it twice would count it
        twice.
        """
        servers, configuration = self.components.servers, self.components.configuration
        return Report(
            router_id=self.peers.own_router_id,
            sequence=self.sequence,
            stopping=self.is_stopping(),
            in_flight=self.components.load.own,
            cached_parts=cached_parts,
            strikes=[(each.fingerprint, each.server) for each in evidence.strikes],
            list_digest=servers.digest,
            list_age_ms=encode_age(servers.own_read.age_ms()),
            configuration_version=configuration.version,
            configuration_age_ms=encode_age(configuration.own_read.age_ms()),
            cache_index_synced=self.components.placement.cache_index.synced,
            store_reachable=self.peers.store_reachable,
            unreachable=self.components.health.unreachable_instances(),
            configuration_watched_revision=configuration.watched_revision,
            list_revision=servers.revision,
            departures=self.recent_departures(),
            processed_parts=processed_parts,
            registered_routers=self.components.fleet_size.own_count,
            registry_age_ms=encode_age(self.components.fleet_size.own_reading_age_ms()),
            strike_ages_ms=[strike.age_ms for strike in evidence.strikes],
            streams=streams,
            part_crashes=evidence.crashes,
            sound_parts=evidence.sound_parts,
            wanted_parts=evidence.wanted_parts,
            tried_parts=evidence.tried_parts,
            limits=self.reported_limits(),
            kept_permits=self.kept_permits(),
            rests=self.components.notices.rests()[:MAX_NOTICES_PER_REPORT],
            leaving_servers=self.reported_leaving(),
            held_tokens=self.components.outstanding.report(),
            **self.components.evacuations.report_fields(),
            account_requests=self.components.admission.rates.reported(),
            slow_servers=list(slow_servers),
            waiting_tokens=self.components.capacity.reported_waiting(),
            cold_servers=self.components.cold_servers.reported(MAX_COLD_PER_REPORT),
        )

    def send_permit_message(self, data: bytes, address: Address) -> None:
        """Send a message about permits to a peer."""
        self.socket.send(data, address)
        self.components.metrics.control_bytes["sent", "permit"] += len(data)
        self.pacer.record(len(data))

    def handle_datagram(self, data: bytes, address: Address) -> None:
        """Apply the report of a peer."""
        self.components.metrics.control_bytes["received", "report"] += len(data)
        try:
            if is_permit_message(data):
                self.components.permits.handle_datagram(data, address)
                return
            report = decode_report(data)
        except CodecError:
            self.malformed_reports += 1
            return
        is_new = self.peers.is_new_router(address, report.router_id)
        was_live = self.peers.is_live_address(address)
        if not self.peers.apply_report(address, report):
            return
        if is_new or not was_live:
            self.hand_over_streams(address)
        if is_new:
            self.hand_over_cached_parts(address)
        self.application.apply(report)
        for kept in report.kept_permits:
            self.on_kept_permits(kept)

    def hand_over_streams(self, address: Address) -> None:
        """Tell a router that has just started, or was silent, all streams and crashes."""
        if self.peers.handover_rank() < MAX_CATCH_UP_SENDERS:
            self.streams.begin_handover(address)
            self.crash_evidence.begin_handover(address)

    def reported_limits(self) -> list[ReportedLimit]:
        """Return what servers have stated, the newest statements first."""
        now_ms = self.components.clock.now_ms()
        limits = self.components.notices.limits
        newest = sorted(limits, key=lambda start: -limits[start].heard_ms)
        return [
            ReportedLimit(
                start,
                limits[start].per_s,
                now_ms - limits[start].asked_ms,
                now_ms - limits[start].heard_ms,
            )
            for start in newest[:MAX_NOTICES_PER_REPORT]
        ]

    def reported_leaving(self) -> list[str]:
        """Return the servers that have said that they leave and are still listed."""
        leaving = self.components.notices.leaving
        if not leaving:
            return []
        listed = self.components.servers.starts()
        return [start for start in leaving if start in listed][-MAX_NOTICES_PER_REPORT:]

    def hand_over_cached_parts(self, address: Address) -> None:
        """Tell a router that has just started all cached parts."""
        cache_index = self.components.placement.cache_index
        if cache_index.synced and self.peers.store_reader_rank() < MAX_CATCH_UP_SENDERS:
            entries = cache_index.entries()
            if entries:
                self.part_handovers[address] = entries

    def update_live_peers(self) -> None:
        """Log peers that were found or lost, and count the routers that are heard."""
        live = {peer.address for peer in self.peers.live_peers()}
        for address in live - self.live_addresses:
            self.log.event(PEER_FOUND, peer=f"{address[0]}:{address[1]}")
        for address in self.live_addresses - live:
            self.log.event(PEER_LOST, peer=f"{address[0]}:{address[1]}")
        self.live_addresses = live
        self.components.fleet_size.record_count(len(live) + 1)
        self.log_retry_share()
        if self.crash_evidence.must_repeat():
            self.crash_evidence.begin_repeating()

    def log_retry_share(self) -> None:
        """Log what this router may spend of the retry slack if it has changed."""
        budget = self.components.retry_budget
        slack_share = round(budget.slack_share(), 1)
        if slack_share != self.logged_slack_share:
            self.logged_slack_share = slack_share
            self.log.event(
                RETRY_SHARE_CHANGED,
                slack_share=slack_share,
                slack=budget.limits.slack,
                routers=self.components.fleet_size.count,
            )


def take_first(
    entries: list[tuple[str, str]], count: int
) -> tuple[list[tuple[str, str]], list[tuple[str, str]]]:
    """Split a list after its first entries."""
    return entries[:count], entries[count:]


def encode_age(age_ms: int | None) -> int:
    """Return an age as reports encode it: -1 if there is none."""
    return -1 if age_ms is None else max(age_ms, 0)
