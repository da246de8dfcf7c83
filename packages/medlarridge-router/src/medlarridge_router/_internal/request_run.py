"""Attempts of one request until it has an answer."""

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
from .failures import Failure, failure_of

if TYPE_CHECKING:
    from .router import Router

RANKED_MEMBERS = 8
RANKED_PEERS = 3
GENERATION_POLL_MS = 20
GENERATION_WAIT_MS = 5_000


class RequestRun:
    """Attempts of one request until it has an answer."""

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
        self.sink = CallerSink(response, request_id, router.clock, self.note_piece)
        self.deadline_ms = 0
        self.number = 0
        self.between_tokens: Histogram | None = None

    def note_piece(self, gap_ms: int | None) -> None:
        """Record the time to the first piece and between pieces."""
        if gap_ms is not None:
            assert self.between_tokens is not None
            self.between_tokens.observe(gap_ms / MS_PER_S)
            return
        metrics, route = self.router.metrics, self.caller.route
        # Looking the series up costs more than the observation, so once a request.
        self.between_tokens = metrics.between_tokens.labels(route)
        elapsed_ms = self.router.clock.now_ms() - self.started_ms
        metrics.first_token.labels(route).observe(elapsed_ms / MS_PER_S)

    async def run(self) -> None:
        """Try members until one gives the answer, then answer the caller."""
        if not self.router.fleet.ready:
            message = "this router has no confirmed configuration"
            await self.fail(Failure(Outcome.NOT_RUN, 503, message, MS_PER_S))
            return
        route = self.router.fleet.tables.routes.get(self.caller.route)
        if route is None:
            # The name comes from the caller, so it is no metric label.
            self.router.metrics.requests.labels("", Outcome.NOT_RUN).inc()
            message = f"no route {self.caller.route!r}"
            await self.fail(Failure(Outcome.NOT_RUN, 404, message))
            return
        if (retry_after_ms := self.over_limit_ms()) > 0:
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

    def over_limit_ms(self) -> int:
        """Return when to come back if the account is over its limit, else 0."""
        limits = self.router.account_limits
        if limits is None:
            return 0
        return limits.retry_after_ms(self.caller.route, self.caller.account)

    async def fail(self, failure: Failure) -> None:
        """Tell the caller that there is no whole answer."""
        if not self.sink.committed:
            await self.router.reply_failure(self.response, self.request_id, failure)
            return
        await self.sink.fail_stream(failure.message)
        raise ResponseAborted(failure.message, step="serve request")

    def remaining_ms(self) -> int:
        """Return the time until the request's deadline."""
        return self.deadline_ms - self.router.clock.now_ms()

    async def try_members(self, route: Route) -> Failure | None:
        """Make attempts as the planner says; returns nothing after a whole answer."""
        history: list[FailedAttempt] = []
        target = self.first_target(route)
        if target is None:
            return Failure(
                Outcome.NOT_RUN, 503, "no member of the route's pools", MS_PER_S
            )
        self.router.planner.add_request(target.pool)
        while True:
            try:
                past = await self.attempt(route, target)
            except ResponseMismatch as error:
                return Failure(Outcome.UNKNOWN, 502, error.message)
            if past is None:
                return None
            history.append(past)
            if not self.sink.can_restart:
                return Failure(Outcome.UNKNOWN, 502, "the answer was cut")
            route = self.current_route(route)
            plan = self.router.planner.plan(self.retry_request(route, history))
            if not isinstance(plan, RetryAttempt):
                return failure_of(plan, past)
            self.sink.next_attempt()
            await anyio.sleep(plan.delay_ms / MS_PER_S)
            await self.wait_generation(plan.required_generation)
            target = plan.target

    def current_route(self, route: Route) -> Route:
        """Return the route as it is now; a removed one still serves its requests.

        A retry must follow a pool that was renamed since the request came. A call
        that came as one that may not be repeated stays that.
        """
        current = self.router.fleet.tables.routes.get(self.caller.route, route)
        repeatable = route.repeatable and current.repeatable
        return current.model_copy(update={"repeatable": repeatable})

    def first_target(self, route: Route) -> Target | None:
        """Return the home of the request in the first pool that has members.

        If the home is slow, the next in the ranking takes its place.
        """
        for pool in route.pools:
            ranked = self.ranked(route, pool)
            member = self.router.slow_servers.first_choice(pool, ranked)
            if member is not None:
                instance = member.instance
                return Target(
                    instance.address, instance.number, pool, instance.data_centre
                )
        return None

    def ranked(self, route: Route, pool: str) -> list[Member]:
        """Return the first members of a pool in the order of placement."""
        ranked = self.router.placements.for_pool(pool).rank(
            self.placement_key(),
            RANKED_MEMBERS,
            self.caller.region or self.router.instance.region,
            route.other_regions,
        )
        return self.router.observations.reachable_first(ranked)

    def placement_key(self) -> str:
        """Return what decides the home: the chat, the call's key, or chance."""
        return self.caller.chat or self.caller.idempotency_key or self.request_id

    def retry_request(self, route: Route, history: list[FailedAttempt]) -> RetryContext:
        """Return what the planner needs to know."""
        return RetryContext(
            history,
            self.remaining_ms(),
            route.repeatable,
            route.pools,
            {pool: self.ranked(route, pool) for pool in route.pools},
            self.router.fleet.generation,
        )

    async def wait_generation(self, generation: int) -> None:
        """Wait a bounded time until a newer configuration is in force here."""
        with anyio.move_on_after(GENERATION_WAIT_MS / MS_PER_S):
            while self.router.fleet.generation < generation:
                await anyio.sleep(GENERATION_POLL_MS / MS_PER_S)

    async def attempt(self, route: Route, target: Target) -> FailedAttempt | None:
        """Make one attempt; returns nothing after a whole answer."""
        self.number += 1
        router = self.router
        link = AttemptClient(
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
            result = await link.run(self.sink)
            finished = result.state is not AttemptEndState.LOST
        finally:
            # The work of an attempt that is given up must not go on for nobody.
            if not finished and link.maybe_sent:
                await link.cancel()
        router.observations.note(target, link, result)
        router.metrics.attempts.labels(target.pool, result.state).inc()
        if link.connections > 1:
            router.metrics.reconnects.inc(link.connections - 1)
        past = await self.judge(target, result)
        if past is None:
            router.slow_servers.record(target, link)
        return past

    async def judge(self, target: Target, result: AttemptEnd) -> FailedAttempt | None:
        """Turn the end of an attempt into what the planner knows of it."""
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
        """Return the message for one attempt."""
        caller = self.caller
        peers = self.ranked(route, target.pool)[:RANKED_PEERS]
        return Attempt(
            request_id=self.request_id,
            number=self.number,
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
