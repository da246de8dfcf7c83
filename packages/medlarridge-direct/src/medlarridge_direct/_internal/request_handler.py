"""Acceptance or rejection of client requests according to the configuration."""

import asyncio

from .components import RouterComponents
from .coordination.crash_guard import request_fingerprint
from .coordination.hashing import hash_to_fraction
from .coordination.prompt_cache_index import affinity_key
from .logs import REQUEST_FAILED, REQUEST_REJECTED, Log, RequestLog
from .protocol.accepted_request import AcceptedRequest, deadline_at_ms
from .protocol.configuration import Account, Configuration, Pool, Route, RouteKind
from .protocol.requests import ClientRequest, RequestMetadata
from .refusals import send_refusal
from .request_run import (
    RETRY_AFTER_JITTER_MS,
    RETRY_AFTER_MS,
    GiveUpReason,
    RequestRun,
)
from .transport.response_writer import ClientDisconnected, ResponseWriter

SERVICE_UNAVAILABLE = 503
STOPPING = "router is stopping"
NO_MEMORY = "no memory for the request"
TOO_MANY_CONNECTIONS = "too many connections"
FRESH_CONFIGURATION_MS = 2_000
"""Age of the configuration up to which requests that it does not allow are rejected.
With an older one, clients are asked to retry, since a change may have been missed."""

NOT_READY_RETRY_AFTER_MS = 1_000
NOT_READY_RETRY_JITTER_MS = 2_000
"""Delay and jitter after which a client may retry while the router has no configuration
or only an old one. An outage of the store lasts seconds and clients retry only once or
twice."""


class Rejection(Exception):
    """Raised for a request that is not allowed; ``status`` is sent to the client.

    ``details`` are logged: what the rejection was decided on.
    """

    def __init__(self, status: int, reason: str, **details: object) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.details = details


class RequestHandler:
    """Handles the requests of all client connections."""

    def __init__(self, components: RouterComponents, log: Log) -> None:
        self.components = components
        self.log = log
        self.in_flight = 0
        self.running: dict[RequestRun, asyncio.Task] = {}

    async def handle(self, request: ClientRequest, response: ResponseWriter) -> None:
        """Serve one request and send its response."""
        log = RequestLog(self.log, self.components.clock, self.components.metrics)
        is_held = not request.body_omitted and self.components.memory.may_take_request()
        self.in_flight += 1
        self.components.memory.requests = self.in_flight
        run = None
        try:
            metadata = self.components.dialect.parse_request(request.headers)
            if metadata is not None:
                log.request_id = metadata.request_id
            if request.is_crowded:
                raise Rejection(SERVICE_UNAVAILABLE, TOO_MANY_CONNECTIONS)
            if not is_held:
                raise self.out_of_memory(request)
            accepted = self.accept(request, metadata)
            log.kind, log.route = accepted.route.kind, accepted.route.name
            log.shared_parts = accepted.metadata.shared_parts
            run = RequestRun(self.components, accepted, response, log)
            await self.run(run)
        except Rejection as rejection:
            self.reject(rejection, response, log)
        except (asyncio.CancelledError, ClientDisconnected):
            if response.client_left:
                log.client_disconnected()
            elif run is not None and run.ended_by_stop:
                run.give_up(GiveUpReason.STOPPING)
                return
            raise
        except Exception as error:
            log.write(REQUEST_FAILED, error=type(error).__name__, detail=str(error))
            if not response.started:
                send_refusal(
                    self.components.dialect,
                    response,
                    502,
                    "internal",
                    log.request_id or None,
                )
        finally:
            self.in_flight -= 1
            self.components.memory.requests = self.in_flight

    async def run(self, run: RequestRun) -> None:
        """Forward a request that is listed as running meanwhile."""
        task = asyncio.current_task()
        assert task is not None
        self.running[run] = task
        try:
            await run.run()
        finally:
            del self.running[run]

    def end_all(self) -> None:
        """Give up all requests in flight whose response is not complete.

        Each answers in its own task, in the next turns of the event loop.
        """
        for run, task in list(self.running.items()):
            if not run.response.ended:
                run.ended_by_stop = True
                task.cancel()

    def accept(
        self, request: ClientRequest, metadata: RequestMetadata | None
    ) -> AcceptedRequest:
        """Return a request with its route, account and pool, or raise ``Rejection``."""
        if metadata is None:
            raise Rejection(400, "malformed headers")
        configuration = self.components.configuration.current
        if configuration is None:
            raise Rejection(SERVICE_UNAVAILABLE, "no configuration")
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = configuration.find_route(metadata.host, path)
        if route is None:
            raise self.unavailable_if_stale(Rejection(404, "no route"))
        ends_ms = deadline_at_ms(request, metadata, route)
        self.check_time_left(route, ends_ms)
        account = self.find_account(configuration, route, metadata)
        pool = self.select_pool(configuration, route, metadata)
        name = "" if account is None else account.name
        return AcceptedRequest(
            request=request,
            metadata=metadata,
            route=route,
            pool=pool,
            account=account,
            fingerprint=request_fingerprint(
                request.method, request.target, name, request.body
            ),
            taken_ms=self.components.clock.now_ms(),
            deadline_at_ms=ends_ms,
        )

    def out_of_memory(self, request: ClientRequest) -> Rejection:
        """Return the rejection of a request for which there is no room."""
        memory = self.components.memory
        memory.refused += 1
        return Rejection(
            SERVICE_UNAVAILABLE,
            NO_MEMORY,
            body_omitted=request.body_omitted,
            requests=memory.requests,
            bodies=memory.bodies,
        )

    def check_time_left(self, route: Route, deadline_at_ms: int) -> None:
        """Reject a request that would not end before this router stops."""
        misfit = self.components.stop_schedule.find_misfit(
            deadline_at_ms,
            route.kind is not RouteKind.IDEMPOTENT,
            self.components.durations.estimate_ms(route.name),
        )
        if misfit is not None:
            raise Rejection(
                SERVICE_UNAVAILABLE,
                STOPPING,
                left_ms=misfit.left_ms,
                needs_ms=misfit.needs_ms,
            )

    def find_account(
        self, configuration: Configuration, route: Route, metadata: RequestMetadata
    ) -> Account | None:
        """Return the account of the request's key, or None if no key is required."""
        if metadata.account_key is not None:
            account = configuration.accounts.get(metadata.account_key)
            if account is not None:
                return account
        if route.public or not configuration.requires_key:
            return None
        raise self.unavailable_if_stale(Rejection(401, "unknown key"))

    def select_pool(
        self, configuration: Configuration, route: Route, metadata: RequestMetadata
    ) -> Pool:
        """Return the pool; requests that share a prompt get the same one in a split."""
        key = affinity_key(metadata.prompt) or metadata.request_id
        fraction = hash_to_fraction(route.name, key)
        total = sum(share.weight for share in route.pools)
        cumulative_weight = 0.0
        name = route.pools[-1].pool
        for share in route.pools:
            cumulative_weight += share.weight / total
            if fraction < cumulative_weight:
                name = share.pool
                break
        return configuration.find_pool(name)

    def unavailable_if_stale(self, rejection: Rejection) -> Rejection:
        """Return the rejection, or a 503 if the configuration may be outdated."""
        age_ms = self.components.configuration.age_ms()
        if age_ms is None or age_ms > FRESH_CONFIGURATION_MS:
            return Rejection(SERVICE_UNAVAILABLE, "configuration may be outdated")
        return rejection

    def reject(
        self, rejection: Rejection, response: ResponseWriter, log: RequestLog
    ) -> None:
        """Send the error response to a request that is not allowed."""
        retry_after_ms = 0
        if rejection.status == SERVICE_UNAVAILABLE:
            delay_ms, jitter_ms = NOT_READY_RETRY_AFTER_MS, NOT_READY_RETRY_JITTER_MS
            if str(rejection) == STOPPING:
                delay_ms, jitter_ms = RETRY_AFTER_MS, RETRY_AFTER_JITTER_MS
            retry_after_ms = delay_ms + self.components.random.randrange(jitter_ms)
        send_refusal(
            self.components.dialect,
            response,
            rejection.status,
            rejection.reason,
            log.request_id or None,
            retry_after_ms,
        )
        self.components.metrics.refusals[rejection.status, rejection.reason] += 1
        log.write(
            REQUEST_REJECTED,
            status=rejection.status,
            reason=rejection.reason,
            configuration=self.components.configuration.version,
            age_ms=self.components.configuration.age_ms(),
            **rejection.details,
        )
