"""Runs one request as a sequence of attempts."""

from typing import TYPE_CHECKING

import anyio
from prometheus_client import Histogram

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.coordination.retry import (
    EndedUnknown,
    FailedAttempt,
    NeverSent,
    RefusedAttempt,
    RetryAttempt,
    RetryContext,
    Target,
    Unanswered,
)
from medlarridge._internal.identity import Member
from medlarridge._internal.protocol.caller import CallerRequest
from medlarridge._internal.protocol.messages import Attempt, Outcome
from medlarridge._internal.protocol.tables import Route
from medlarridge._internal.transport.asgi import HttpResponse, ResponseAborted
from medlarridge._internal.transport.attempt_client import (
    AttemptClient,
    AttemptEnd,
    AttemptEndState,
)

from .caller_sink import CallerSink, ResponseMismatch
from .failures import Failure, failure_from_plan

if TYPE_CHECKING:
    from .router import Router

MAX_RANKED_MEMBERS = 8
MAX_RANKED_PEERS = 3
GENERATION_POLL_MS = 20
GENERATION_WAIT_MS = 5_000


class RequestRun:
    """Makes attempts for one request until one completes or the planner gives up."""

    def __init__(
        self,
        router: "Router",
        caller: CallerRequest,
        response: HttpResponse,
        request_id: str,
    ) -> None:
        self.router = router
        self.caller = caller
        self.response = response
        self.request_id = request_id
        self.started_ms = router.clock.now_ms()
        self.sink = CallerSink(response, request_id, router.clock, self.record_piece)
        self.deadline_ms = 0
        self.attempt_number = 0
        self.between_tokens: Histogram | None = None

    def record_piece(self, interval_ms: int | None) -> None:
        """Record the time to the first piece and between pieces."""
        if interval_ms is not None:
            assert self.between_tokens is not None
            self.between_tokens.observe(interval_ms / MS_PER_S)
            return
        metrics, route = self.router.metrics, self.caller.route
        # The look-up of the series costs more than an observation, so it is done once
        # per request.
        self.between_tokens = metrics.between_tokens.labels(route)
        elapsed_ms = self.router.clock.now_ms() - self.started_ms
        metrics.first_token.labels(route).observe(elapsed_ms / MS_PER_S)

    async def run(self) -> None:
        """Make attempts until one completes, then respond to the caller."""
        if not self.router.fleet.ready:
            message = "this router has no confirmed configuration"
            await self.fail(Failure(Outcome.NOT_RUN, 503, message, MS_PER_S))
            return
        route = self.router.fleet.tables.routes.get(self.caller.route)
        if route is None:
            # The caller chooses the name. As a label it would create unbounded series.
            self.router.metrics.requests.labels("", Outcome.NOT_RUN).inc()
            message = f"no route {self.caller.route!r}"
            await self.fail(Failure(Outcome.NOT_RUN, 404, message))
            return
        if (retry_after_ms := self.account_retry_after_ms()) > 0:
            self.router.metrics.requests.labels(
                self.caller.route, Outcome.NOT_RUN
            ).inc()
            message = f"account {self.caller.account!r} is over its limit"
            await self.fail(Failure(Outcome.NOT_RUN, 429, message, retry_after_ms))
            return
        self.deadline_ms = self.started_ms + min(
            self.caller.deadline_ms or route.deadline_ms, route.deadline_ms
        )
        failure = await self.try_members(route)
        outcome = Outcome.COMPLETE if failure is None else failure.outcome
        self.router.metrics.requests.labels(self.caller.route, outcome).inc()
        if failure is not None:
            await self.fail(failure)

    def account_retry_after_ms(self) -> int:
        """Return the time to wait if the account exceeds its limit, otherwise 0."""
        limits = self.router.account_limits
        if limits is None:
            return 0
        return limits.retry_after_ms(self.caller.route, self.caller.account)

    async def fail(self, failure: Failure) -> None:
        """Report the failure to the caller, in the stream if one was started."""
        if not self.sink.committed:
            await self.router.reply_failure(self.response, self.request_id, failure)
            return
        await self.sink.fail_stream(failure.message)
        raise ResponseAborted(failure.message, step="serve request")

    def remaining_ms(self) -> int:
        """Return the time until the request's deadline."""
        return self.deadline_ms - self.router.clock.now_ms()

    async def try_members(self, route: Route) -> Failure | None:
        """Make attempts as planned; return the failure, ``None`` if one completed."""
        history: list[FailedAttempt] = []
        target = self.first_target(route)
        if target is None:
            return Failure(
                Outcome.NOT_RUN, 503, "no member of the route's pools", MS_PER_S
            )
        self.router.planner.count_request(target.pool)
        while True:
            try:
                failed_attempt = await self.attempt(route, target)
            except ResponseMismatch as error:
                return Failure(Outcome.UNKNOWN, 502, error.message)
            if failed_attempt is None:
                return None
            history.append(failed_attempt)
            if not self.sink.can_restart:
                return Failure(Outcome.UNKNOWN, 502, "the answer was cut")
            route = self.current_route(route)
            plan = self.router.planner.plan(self.retry_context(route, history))
            if not isinstance(plan, RetryAttempt):
                return failure_from_plan(plan, failed_attempt)
            self.sink.start_next_attempt()
            await anyio.sleep(plan.delay_ms / MS_PER_S)
            await self.wait_for_generation(plan.required_generation)
            target = plan.target

    def current_route(self, route: Route) -> Route:
        """Return the current entry of the route, or the given one if it was removed.

        Retries use the current entry, since a pool may have been renamed after the
        request arrived. A request that was not repeatable on arrival never becomes
        repeatable.
        """
        current = self.router.fleet.tables.routes.get(self.caller.route, route)
        repeatable = route.repeatable and current.repeatable
        return current.model_copy(update={"repeatable": repeatable})

    def first_target(self, route: Route) -> Target | None:
        """Return the first choice in the first pool that has members.

        Slow servers are skipped in favour of the next member in the ranking.
        """
        for pool in route.pools:
            ranked = self.ranked_members(route, pool)
            member = self.router.slow_servers.first_choice(pool, ranked)
            if member is not None:
                instance = member.instance
                return Target(
                    instance.address, instance.number, pool, instance.data_centre
                )
        return None

    def ranked_members(self, route: Route, pool: str) -> list[Member]:
        """Return the first members of a pool by rank, those with a server down last."""
        ranked = self.router.placements.for_pool(pool).rank(
            self.placement_key(),
            MAX_RANKED_MEMBERS,
            self.caller.region or self.router.instance.region,
            route.other_regions,
        )
        return self.router.observations.reachable_first(ranked)

    def placement_key(self) -> str:
        """Return the placement key: chat, idempotency key, or the random request ID."""
        return self.caller.chat or self.caller.idempotency_key or self.request_id

    def retry_context(self, route: Route, history: list[FailedAttempt]) -> RetryContext:
        """Return the state on which the planner decides about a retry."""
        return RetryContext(
            history,
            self.remaining_ms(),
            route.repeatable,
            route.pools,
            {pool: self.ranked_members(route, pool) for pool in route.pools},
            self.router.fleet.generation,
        )

    async def wait_for_generation(self, generation: int) -> None:
        """Wait until the given generation is in force, at most ``GENERATION_WAIT_MS``."""
        with anyio.move_on_after(GENERATION_WAIT_MS / MS_PER_S):
            while self.router.fleet.generation < generation:
                await anyio.sleep(GENERATION_POLL_MS / MS_PER_S)

    async def attempt(self, route: Route, target: Target) -> FailedAttempt | None:
        """Make one attempt; return its failure, ``None`` if it completed."""
        self.attempt_number += 1
        router = self.router
        client = AttemptClient(
            router.client,
            router.key,
            target.address,
            self.build_attempt(route, target),
            router.clock,
            router.random,
            router.fleet.observe_generation,
        )
        finished = False
        try:
            result = await client.run(self.sink)
            finished = result.state is not AttemptEndState.LOST
        finally:
            # Cancel an abandoned attempt, whose result nobody would read.
            if not finished and client.maybe_sent:
                await client.cancel()
        router.observations.record(target, client, result)
        router.metrics.attempts.labels(target.pool, result.state).inc()
        if client.connections > 1:
            router.metrics.reconnects.inc(client.connections - 1)
        failed_attempt = await self.classify_end(target, result)
        if failed_attempt is None:
            router.slow_servers.record(target, client)
        return failed_attempt

    async def classify_end(
        self, target: Target, result: AttemptEnd
    ) -> FailedAttempt | None:
        """Return the failure that the planner considers, ``None`` if it completed."""
        if result.refusal is not None:
            if result.refusal.generation > self.router.fleet.generation:
                self.router.fleet.observe_generation(
                    result.refusal.generation, target.address
                )
            return RefusedAttempt(target, result.refusal)
        if result.state is AttemptEndState.NOT_SENT:
            return NeverSent(target, result.detail)
        if result.end is None:
            return Unanswered(target, result.detail)
        if result.end.outcome is not Outcome.COMPLETE:
            return EndedUnknown(target, result.end.detail)
        if await self.sink.finish() is Outcome.COMPLETE:
            return None
        return EndedUnknown(target, "the server closed the stream without its end")

    def build_attempt(self, route: Route, target: Target) -> Attempt:
        """Return the message that starts an attempt."""
        caller = self.caller
        peers = self.ranked_members(route, target.pool)[:MAX_RANKED_PEERS]
        return Attempt(
            request_id=self.request_id,
            number=self.attempt_number,
            target=target.number,
            route=caller.route,
            pool=target.pool,
            generation=self.router.fleet.generation,
            account=caller.account,
            method=caller.method,
            path=caller.path,
            deadline_ms=max(self.remaining_ms(), 1),
            headers=caller.headers,
            body=caller.body,
            chat=caller.chat,
            region=caller.region or self.router.instance.region,
            priority=route.priority,
            repeatable=route.repeatable,
            idempotency_key=caller.idempotency_key,
            fingerprint=caller.fingerprint,
            prompt_tokens=caller.prompt_tokens,
            output_tokens=caller.output_tokens,
            ranked=[peer.instance.address for peer in peers],
        )
