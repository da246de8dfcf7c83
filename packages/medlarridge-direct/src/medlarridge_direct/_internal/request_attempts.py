"""Choice of the servers that a request is sent to, until one begins to respond."""

import asyncio
from collections.abc import Sequence
from enum import StrEnum
from itertools import takewhile

from medlarridge._internal.clock import MS_PER_S

from .attempt import Attempt
from .attempt_outcome import AttemptOutcome, OutcomeKind
from .components import RouterComponents
from .coordination.admission import RefusalReason
from .coordination.outstanding_work import request_size
from .coordination.part_crashes import part_keys
from .coordination.retry_budget import RetryEnd
from .coordination.server_health import AttemptResult
from .logs import RequestLog
from .prompt_reuse import PromptReuse
from .protocol.accepted_request import AcceptedRequest
from .protocol.configuration import Pool, RouteKind, effective_priority
from .protocol.requests import ForwardingMetadata
from .protocol.servers import BackendServer
from .request_admission import RequestAdmission
from .send_permits import Permit
from .server_selection import (
    all_evacuated,
    counts_outstanding_work,
    has_reachable_server,
    rank_servers,
    servers_not_evacuated,
)
from .state.evacuations import PAUSE_HOLD_MS
from .stream_continuity import StreamContinuity
from .transport.response_writer import ResponseWriter

MAX_ATTEMPTS_NOT_RUN = 4
"""Attempts of one request that may fail without running; each costs a round trip."""

MIN_ATTEMPT_TIME_MS = 20
"""Time before the deadline below which another attempt cannot get a response."""

RETRY_TIMEOUT_FACTOR = 2.5
MIN_RETRY_TIMEOUT_MS = 250
MIN_RESUME_TIMEOUT_MS = 1_000
"""Time without data after which a repeatable request is sent to another server: a
multiple of the route's latency objective, but at least the time a busy server needs."""

PAUSE_POLL_MS = 10
"""Interval at which requests check whether the state is confirmed after a pause."""

MAX_URGENCY = 9
BASE_URGENCY = 3
"""Urgency of priority 0; servers run requests of lower urgency values first."""

MIN_SERVER_ERROR_STATUS = 500


class GiveUpReason(StrEnum):
    """Reasons for giving up a request."""

    DEADLINE = "deadline"
    NO_SERVER = "no-server"
    SERVER_LIMITS = "server-limits"
    SERVERS_REST = "servers-rest"
    EVACUATED = "data-centres-evacuated"
    NO_SERVER_OF_VERSION = "no-server-of-version"
    UNKNOWN_STREAM = "unknown-stream"
    BUDGET = "retry-budget"
    ATTEMPTS = "attempts"
    MAY_HAVE_RUN = "may-have-run"
    CRASHES_SERVERS = "crashes-servers"
    CRASHING_PART = "crashing-part"
    STOPPING = "router-stopping"
    LATE = RefusalReason.LATE
    RANK = RefusalReason.RANK
    ACCOUNT = RefusalReason.ACCOUNT


class RequestAttempts:
    """Sends one request to servers until one of them begins to respond.

    Servers are tried one after the other. One that is silent keeps its attempt until
    another server responds, as it may go on.

    ``made`` are all attempts, in order; ``any_silent`` tells that one of them may still be
    on its way. ``without_permit`` are servers with a limit that had no permit for this
    request. ``tries_part`` marks a request that tries a prompt
    part which is refused otherwise. ``last_event_id`` is that of the last event of a
    stream that the client got.
    """

    def __init__(
        self,
        components: RouterComponents,
        accepted: AcceptedRequest,
        response: ResponseWriter,
        log: RequestLog,
    ) -> None:
        self.components = components
        self.accepted = accepted
        self.pool = accepted.pool
        self.route = accepted.route
        self.metadata = accepted.metadata
        self.response = response
        self.log = log
        self.prompt_reuse = PromptReuse(
            components, accepted.route, accepted.metadata.prompt, log
        )
        self.continuity = StreamContinuity(
            components, accepted.route, accepted.metadata, log
        )
        self.size = request_size(
            accepted.metadata, self.prompt_reuse.prompt, len(accepted.request.body)
        )
        self.admission = RequestAdmission(components, accepted)
        self.made: list[Attempt] = []
        self.tried_instances: set[str] = set()
        self.without_permit: set[str] = set()
        self.any_silent = False
        self.last_event_id = accepted.metadata.resume_after
        self.shared_parts = part_keys(accepted.metadata.shared_parts)
        self.tries_part = False

    @property
    def runs(self) -> int:
        """Return the number of attempts that a server may have run."""
        return sum(attempt.may_have_run for attempt in self.made)

    @property
    def any_received(self) -> bool:
        """Return whether a server has received the request, whether it ran it or not."""
        return any(attempt.was_sent for attempt in self.made)

    def remaining_ms(self) -> int:
        """Return the time that is left before the deadline."""
        return self.accepted.deadline_at_ms - self.components.clock.now_ms()

    async def find_pool(self) -> Pool | None:
        """Find the pool; None if nobody knows where a stream began that is taken up."""
        if self.continuity.takes_up_stream:
            pool = await self.continuity.find_pool(self.pool)
            if pool is None:
                return None
            self.pool = pool
        return self.pool

    async def begin(self) -> Attempt | GiveUpReason:
        """Try servers until one begins to respond.

        Return its attempt, which is open, or why no further attempt may be made.
        """
        while True:
            await self.wait_after_pause()
            reason = self.reason_to_give_up()
            if reason is not None:
                return reason
            ranked = self.rank_servers()
            if not ranked:
                return self.reason_without_server()
            if self.needs_admission():
                refusal = self.admission.check(
                    self.pool,
                    ranked,
                    self.prompt_reuse.prompt,
                    may_have_run=self.runs > 0,
                )
                if refusal is not None:
                    return GiveUpReason(refusal.reason)
            server, permit = ranked[0], None
            if await self.prompt_reuse.wait_until_processed(server):
                continue
            if self.components.permits.is_needed(server):
                permit = await self.acquire_permit(ranked)
                if permit is None:
                    continue
                server = permit.server
            if self.any_received and not self.components.retry_budget.take(
                self.pool.name
            ):
                if permit is not None:
                    permit.end(sent=False)
                return GiveUpReason.BUDGET
            self.tried_instances.add(server.instance)
            begun = await self.send(server, permit)
            if begun is not None:
                return begun

    async def wait_after_pause(self) -> None:
        """Wait while the router must first find out what is evacuated.

        That takes one call to the store as a rule; a refusal would cost the client more.
        """
        for _ in range(PAUSE_HOLD_MS // PAUSE_POLL_MS):
            if not self.components.evacuations.is_after_pause:
                return
            if self.remaining_ms() < MIN_ATTEMPT_TIME_MS:
                return
            await asyncio.sleep(PAUSE_POLL_MS / MS_PER_S)

    def close_all(self) -> None:
        """Close the attempts that are open."""
        for attempt in self.made:
            attempt.close()

    # Whether and where to try

    def reason_to_give_up(self) -> GiveUpReason | None:
        """Return why no further attempt may be made, or None."""
        if self.components.stop_schedule.has_ended():
            return GiveUpReason.STOPPING
        if self.remaining_ms() < MIN_ATTEMPT_TIME_MS:
            return GiveUpReason.DEADLINE
        if self.runs and not self.route.repeatable:
            return GiveUpReason.MAY_HAVE_RUN
        if self.runs >= self.route.max_attempts or not self.may_fail_again():
            return GiveUpReason.ATTEMPTS
        if self.components.crash_guard.should_refuse(self.accepted.fingerprint):
            return GiveUpReason.CRASHES_SERVERS
        if self.has_refused_part():
            return GiveUpReason.CRASHING_PART
        return None

    def reason_without_server(self) -> GiveUpReason:
        """Return why no server is left to try."""
        if all_evacuated(self.components, self.pool, self.continuity.software_version):
            return GiveUpReason.EVACUATED
        if self.without_permit:
            return GiveUpReason.SERVER_LIMITS
        if self.rest_left_ms() > 0:
            return GiveUpReason.SERVERS_REST
        if self.continuity.origin is not None:
            return GiveUpReason.NO_SERVER_OF_VERSION
        return GiveUpReason.NO_SERVER

    def rest_left_ms(self) -> int:
        """Return when the first server that rests takes requests again, 0 without one."""
        rests_ms = [
            self.components.notices.rest_left_ms(server.start)
            for server in servers_not_evacuated(self.components, self.pool)
        ]
        return min((rest_ms for rest_ms in rests_ms if rest_ms), default=0)

    def needs_admission(self) -> bool:
        """Return whether the request may still be refused for want of capacity.

        A stream that has begun, here or elsewhere, goes on, and so does a request for
        which another attempt is open.
        """
        return not (
            self.response.started
            or self.continuity.takes_up_stream
            or any(attempt.is_open for attempt in self.made)
        )

    def has_refused_part(self) -> bool:
        """Return whether the prompt has a part that crashes servers.

        Such a part is tried now and then, with one request that is not repeated.
        """
        if self.tries_part and not self.runs:
            return False
        crashing_parts = self.components.crashing_parts
        held = crashing_parts.find_held(self.shared_parts)
        if not held:
            return False
        rank = self.components.router_rank()
        if not self.runs and crashing_parts.begin_trial(held, rank):
            self.tries_part = True
            self.log.parts_tried(held)
            self.components.on_parts_changed()
            return False
        return True

    def may_fail_again(self) -> bool:
        """Return whether another attempt may fail without having run."""
        return len(self.made) - self.runs < MAX_ATTEMPTS_NOT_RUN

    def may_run_again(self, attempt: Attempt | None = None) -> bool:
        """Return whether another run may follow that of ``attempt``, or the next one."""
        other_runs = self.runs - (attempt is not None and attempt.may_have_run)
        return self.route.repeatable and other_runs + 1 < self.route.max_attempts

    def may_retry(self, attempt: Attempt) -> bool:
        """Return whether a retry may follow an attempt that may have run."""
        return (
            self.may_run_again(attempt)
            and self.remaining_ms() >= MIN_ATTEMPT_TIME_MS
            and self.components.retry_budget.remaining(self.pool.name) >= 1
        )

    def can_go_elsewhere(self, attempt: Attempt) -> bool:
        """Return whether another server can take over from the present one now."""
        return (
            self.may_retry(attempt)
            and self.may_fail_again()
            and not self.components.crash_guard.should_refuse(self.accepted.fingerprint)
            and not self.components.crashing_parts.holds_any(self.shared_parts)
            and has_reachable_server(
                self.components,
                self.pool,
                self.tried_instances | self.without_permit,
                self.continuity.software_version,
            )
        )

    def rank_servers(self) -> list[BackendServer]:
        """Return the servers that may still be tried, the best first."""
        return rank_servers(
            self.components,
            self.pool,
            self.prompt_reuse.prompt,
            self.tried_instances | self.without_permit,
            self.may_run_again(),
            self.continuity.software_version,
            self.continuity.held_back_versions(self.pool),
            self.size,
        )

    async def acquire_permit(self, ranked: Sequence[BackendServer]) -> Permit | None:
        """Return a permit for one of the servers that rank first and have a limit.

        Without one, these servers are left out, and the next ones are tried.
        """
        permits = self.components.permits
        limited = list(takewhile(permits.is_needed, ranked))
        permit = await permits.acquire(
            self.pool.name,
            limited,
            rank=effective_priority(self.route, self.accepted.account),
            can_go_elsewhere=len(limited) < len(ranked),
        )
        if permit is None:
            self.without_permit.update(server.instance for server in limited)
            self.log.permit_refused(limited)
        return permit

    # One attempt

    async def send(
        self, server: BackendServer, permit: Permit | None
    ) -> Attempt | None:
        """Send the request to a server; return the attempt that begins to respond.

        That is an attempt at another server if this one is silent. Return None if no
        response is to be delivered.
        """
        cached_tokens = self.components.placement.cache_index.cached_tokens(
            self.prompt_reuse.prompt, server.instance
        )
        metadata = self.forwarding_metadata(server)
        is_retry = self.any_received
        attempt = Attempt(
            self.components,
            server,
            self.accepted.request,
            self.metadata.request_id,
            self.accepted.fingerprint,
            self.pool.max_connections // self.components.fleet_size.count,
            self.route.kind is RouteKind.STREAM,
            self.shared_parts,
            self.pool.runs_models,
            permit,
            self.components.capacity.new_timing(
                self.pool, server, self.route.name, self.uncached_tokens()
            ),
        )
        self.log.attempt_sent(
            server,
            self.components,
            metadata,
            len(self.made),
            is_retry=is_retry,
            resumes=self.metadata.resumes,
        )
        attempt.fetch_source = self.prompt_reuse.source
        self.made.append(attempt)
        attempt.open()
        if counts_outstanding_work(self.components, self.pool):
            attempt.held_work = self.components.outstanding.begin(
                self.pool, server.instance, self.size, cached_tokens
            )
        begun = None
        try:
            begun = await self.wait_for_head(attempt, metadata, is_retry)
            return begun
        finally:
            self.log.responses_discarded(server, attempt.discarded)
            if begun is not attempt:
                attempt.close()

    async def wait_for_head(
        self, attempt: Attempt, metadata: ForwardingMetadata, is_retry: bool
    ) -> Attempt | None:
        """Send an attempt and wait for a response; return as ``send`` does."""
        sent_ms = self.components.clock.now_ms()
        outcome = await self.start(attempt, metadata, is_retry)
        while outcome.kind is OutcomeKind.SILENT and self.may_go_on(attempt):
            successor = await self.find_successor(attempt)
            if successor is not None:
                self.log.attempt_ended(attempt.server, outcome.kind, outcome.detail)
                return successor
            outcome = await attempt.read_head(self.wait_ms(attempt))
        if outcome.kind is not OutcomeKind.RESPONSE:
            self.record_failure(attempt, outcome)
            return None
        elapsed_ms = self.components.clock.now_ms() - sent_ms
        self.prompt_reuse.record_processed(attempt.server, elapsed_ms)
        return attempt if self.is_deliverable(attempt) else None

    async def start(
        self, attempt: Attempt, metadata: ForwardingMetadata, is_retry: bool
    ) -> AttemptOutcome:
        """Start an attempt and tell the budget when a retry has arrived or was lost.

        After a silent attempt, which may be on its way, any further one may arrive first.
        """
        end = RetryEnd.MAY_ARRIVE
        try:
            outcome = await attempt.start(
                metadata, self.wait_ms(attempt), self.silence_timeout_ms()
            )
            self.any_silent |= outcome.kind is OutcomeKind.SILENT
            if not outcome.reached_server:
                end = RetryEnd.NOT_SENT
            elif not self.any_silent:
                end = RetryEnd.ARRIVED
            return outcome
        finally:
            if is_retry:
                self.components.retry_budget.end_retry(self.pool.name, end)

    def forwarding_metadata(self, server: BackendServer) -> ForwardingMetadata:
        """Return the metadata that the router adds to an attempt."""
        account = self.accepted.account
        urgency = None
        if self.pool.runs_models:
            priority = effective_priority(self.route, account)
            urgency = min(BASE_URGENCY + priority, MAX_URGENCY)
        source = self.prompt_reuse.record_sent(server)
        return ForwardingMetadata(
            instance=server.instance,
            deadline_ms=max(self.remaining_ms(), 1),
            account=None if account is None else account.name,
            urgency=urgency,
            resume_after=self.last_event_id,
            fetch_from=None if source is None else source.address,
        )

    def uncached_tokens(self) -> int:
        """Return the prompt tokens that the server of the next attempt lacks.

        Those that it fetches from another server count as the time that this takes.
        """
        total = self.metadata.prompt_tokens or sum(
            part.tokens for part in self.metadata.prompt
        )
        return max(total - self.prompt_reuse.reused_tokens, 0)

    def record_failure(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Record and log an attempt that ended without a response."""
        if outcome.kind is OutcomeKind.SILENT:
            attempt.record_silence()
        elif outcome.kind is OutcomeKind.FAULTY:
            attempt.record_result(AttemptResult.FAILED)
        self.log.attempt_ended(attempt.server, outcome.kind, outcome.detail)

    def is_deliverable(self, attempt: Attempt) -> bool:
        """Return whether a response is to be delivered; record its result.

        Another attempt should follow an error if it may. A stream that has begun can only
        continue with events.
        """
        head = attempt.head
        assert head is not None
        failed = head.status >= MIN_SERVER_ERROR_STATUS
        attempt.record_result(
            AttemptResult.FAILED if failed else AttemptResult.ANSWERED
        )
        is_unfit = self.response.started and not attempt.received.is_stream
        is_replaceable = self.may_retry(attempt) or self.waits_beside(attempt)
        if not is_unfit and not (failed and is_replaceable):
            return True
        detail = f"status {head.status}"
        if not failed:
            detail += f", {head.media_type or 'no body'} inside a stream"
        self.log.attempt_ended(attempt.server, OutcomeKind.FAULTY, detail)
        return False

    def waits_beside(self, attempt: Attempt) -> bool:
        """Return whether an attempt at a silent server is open beside this one."""
        return any(other is not attempt and other.is_open for other in self.made)

    # Silent servers

    def wait_ms(self, attempt: Attempt) -> int:
        """Return how long to wait for data before another server is looked for."""
        remaining_ms = max(self.remaining_ms(), 1)
        if not self.may_run_again(attempt):
            return remaining_ms
        return min(remaining_ms, self.silence_timeout_ms())

    def silence_timeout_ms(self) -> int:
        """Return the time without data after which a response may be lost."""
        min_timeout_ms = MIN_RETRY_TIMEOUT_MS
        if self.route.kind is RouteKind.STREAM:
            min_timeout_ms = MIN_RESUME_TIMEOUT_MS
        timeout_ms = RETRY_TIMEOUT_FACTOR * max(
            self.route.objective_ms, self.route.gap_ms
        )
        return max(int(timeout_ms), min_timeout_ms)

    def may_go_on(self, attempt: Attempt) -> bool:
        """Return whether a silent server may still respond in time."""
        return not attempt.lost_response and self.remaining_ms() > 0

    async def find_successor(self, silent: Attempt) -> Attempt | None:
        """Look for a server that responds in place of a silent one.

        The silent server may be sound and go on, so its attempt stays open until another
        server responds. Return None if it has gone on, or if no other can take over now.
        """
        silent.record_silence()
        if self.remaining_ms() <= 0 or not self.can_go_elsewhere(silent):
            return None
        self.any_silent = True
        search = asyncio.ensure_future(self.begin())
        news = asyncio.ensure_future(silent.wait_for_news())
        try:
            await asyncio.wait((search, news), return_when=asyncio.FIRST_COMPLETED)
            if silent.is_broken:
                await asyncio.wait((search,))
            if not search.done():
                return None
            found = search.result()
        finally:
            await cancel_and_wait(search, news)
        if isinstance(found, Attempt):
            return found
        self.log.silent_server_kept(silent.server, found)
        return None


async def cancel_and_wait(*tasks: asyncio.Task) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
