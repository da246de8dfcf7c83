"""Application of the reports of peers to this router's state."""

from .components import RouterComponents
from .coordination.stream_origins import StreamOrigin
from .crash_evidence_exchange import CrashEvidenceExchange
from .evacuation_sync import log_change
from .logs import CRASH_STRIKE, SERVER_LEAVING, Log
from .protocol.peer_messages import Departure, HeldStrike, Report, ReportedLimit
from .protocol.server_notices import LimitStatement


class ReportApplication:
    """Takes over what peers know of servers, prompt parts, streams and the store."""

    def __init__(
        self,
        components: RouterComponents,
        crash_evidence: CrashEvidenceExchange,
        log: Log,
    ) -> None:
        self.components = components
        self.crash_evidence = crash_evidence
        self.log = log

    def apply(self, report: Report) -> None:
        """Apply a report that is newer than the last one of its router."""
        self.components.load.apply_report(report.router_id, report.in_flight)
        self.components.outstanding.apply_report(report.router_id, report.held_tokens)
        self.apply_evacuations(report)
        self.components.admission.rates.apply_report(
            report.router_id, report.account_requests
        )
        self.components.capacity.apply_report(
            report.router_id, report.slow_servers, report.waiting_tokens
        )
        cache_index = self.components.placement.cache_index
        for part_id, instance in report.cached_parts:
            cache_index.record(part_id, instance)
        for part_id, instance in report.processed_parts:
            cache_index.record_processed_part(part_id, instance)
        for group in report.streams:
            origin = StreamOrigin(group.pool, group.software_version)
            for stream, left_ms in group.streams:
                self.components.stream_origins.record(stream, origin, left_ms)
        for strike in report.held_strikes():
            self.apply_strike(strike)
        self.crash_evidence.apply(report)
        if report.registry_age_ms >= 0:
            self.components.fleet_size.record_reading(
                report.registered_routers,
                self.components.clock.now_ms() - report.registry_age_ms,
            )
        for limit in report.limits:
            self.apply_limit(limit)
        for start in report.leaving_servers:
            self.components.notices.begin_leaving(start, from_peer=True)
        for start, rest_ms in report.rests:
            self.components.notices.begin_peer_rest(start, rest_ms)
        for start, left_ms in report.cold_servers:
            self.components.cold_servers.apply_peer(start, left_ms)
        for departure in report.departures:
            self.apply_departure(departure)
        for instance in report.unreachable:
            self.components.health.record_peer_unreachable(instance)
        self.apply_store_state(report)

    def apply_evacuations(self, report: Report) -> None:
        """Take over which data centres are evacuated, if the peer knows it better."""
        evacuations = self.components.evacuations
        change = evacuations.apply_peer(report)
        if change:
            log_change(self.log, evacuations, change, from_peer=True)

    def apply_limit(self, limit: ReportedLimit) -> None:
        """Keep what a server has stated to a peer."""
        now_ms = self.components.clock.now_ms()
        statement = LimitStatement(
            limit.per_s, now_ms - limit.asked_age_ms, now_ms - limit.heard_age_ms
        )
        self.components.notices.apply_limit(limit.start, statement, from_peer=True)

    def apply_strike(self, strike: HeldStrike) -> None:
        """Record a strike that a peer knows."""
        if self.components.crash_guard.add_strike(
            strike.fingerprint, strike.server, strike.age_ms
        ):
            self.log.event(
                CRASH_STRIKE,
                fingerprint=f"{strike.fingerprint:016x}",
                server=strike.server,
                peer=True,
                age_ms=strike.age_ms,
            )

    def apply_departure(self, departure: Departure) -> None:
        """Stop using a server that a peer has seen leave the list."""
        if self.components.servers.record_departure(departure):
            self.log.event(
                SERVER_LEAVING,
                server=departure.instance,
                revision=str(departure.revision),
            )

    def apply_store_state(self, report: Report) -> None:
        """Confirm state that equals the peer's, and mark older state as outdated."""
        now_ms = self.components.clock.now_ms()
        servers, configuration = self.components.servers, self.components.configuration
        if (
            report.configuration_age_ms >= 0
            and report.configuration_version == configuration.version
        ):
            configuration.confirm(now_ms - report.configuration_age_ms)
        configuration.record_peer(
            report.configuration_version, report.configuration_watched_revision
        )
        if report.list_digest == servers.digest:
            if report.list_age_ms >= 0:
                servers.confirm(now_ms - report.list_age_ms)
            # An equal list of a new era still ends what waits for the earlier one.
            if report.list_revision.era > servers.revision.era:
                servers.outdated = True
        elif report.list_revision > servers.revision:
            servers.outdated = True
