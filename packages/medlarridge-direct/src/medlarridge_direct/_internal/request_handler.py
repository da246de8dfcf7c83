"""Checks a client's request against the configuration and starts its run."""

import asyncio

from .coordination.crash_guard import request_fingerprint
from .coordination.hashing import hash_to_fraction
from .coordination.prompt_cache_index import affinity_key
from .logs import FAILED, REJECTED, Log, RequestLog
from .parts import RouterParts
from .protocol.configuration import Account, Configuration, Pool, Route
from .protocol.requests import ClientRequest, RequestMetadata
from .refusals import send_refusal
from .request_run import Accepted, RequestRun
from .transport.client_connection import AnswerWriter, ClientGone

UNAVAILABLE = 503
CERTAIN_MS = 2_000
"""Age of the configuration up to which a request that it does not allow is rejected;
with an older one the client is asked to come back."""

UNPREPARED_MS = 1_000
UNPREPARED_SPREAD_MS = 2_000
"""When a client may return to a router that knows no configuration yet, or only an old
one: an outage of the store lasts seconds, and a client returns once or twice."""


class Rejection(Exception):
    """The request is not allowed; ``status`` is the answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestHandler:
    """Handles the requests of all client connections."""

    def __init__(self, parts: RouterParts, log: Log) -> None:
        self.parts = parts
        self.log = log
        self.in_flight = 0

    async def handle(self, request: ClientRequest, answer: AnswerWriter) -> None:
        """Answer one request."""
        metadata = self.parts.dialect.parse_request(request.headers)
        request_id = "" if metadata is None else metadata.request_id
        log = RequestLog(self.log, self.parts.clock, self.parts.metrics, request_id)
        self.in_flight += 1
        try:
            accepted = self.accept(request, metadata)
            log.kind, log.route = accepted.route.kind, accepted.route.name
            await RequestRun(self.parts, accepted, answer, log).run()
        except Rejection as rejection:
            self.reject(rejection, answer, log)
        except (asyncio.CancelledError, ClientGone):
            log.client_gone()
            raise
        except Exception as error:
            log.write(FAILED, error=type(error).__name__, detail=str(error))
            if not answer.started:
                send_refusal(self.parts.dialect, answer, 502, "internal", request_id)
        finally:
            self.in_flight -= 1

    def accept(
        self, request: ClientRequest, metadata: RequestMetadata | None
    ) -> Accepted:
        """Find route, account and pool of a request, or raise ``Rejection``."""
        if metadata is None:
            raise Rejection(400, "malformed headers")
        configuration = self.parts.configuration.current
        if configuration is None:
            raise Rejection(UNAVAILABLE, "no configuration")
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = configuration.find_route(metadata.host, path)
        if route is None:
            raise self.unless_stale(Rejection(404, "no route"))
        account = self.find_account(configuration, route, metadata)
        pool = self.choose_pool(configuration, route, metadata)
        name = "" if account is None else account.name
        return Accepted(
            request=request,
            metadata=metadata,
            route=route,
            pool=pool,
            account=account,
            fingerprint=request_fingerprint(
                request.method, request.target, name, request.body
            ),
        )

    def find_account(
        self, configuration: Configuration, route: Route, metadata: RequestMetadata
    ) -> Account | None:
        """Return the account of the request's key."""
        if metadata.account_key is not None:
            account = configuration.accounts.get(metadata.account_key)
            if account is not None:
                return account
        if route.public or not configuration.requires_key:
            return None
        raise self.unless_stale(Rejection(401, "unknown key"))

    def choose_pool(
        self, configuration: Configuration, route: Route, metadata: RequestMetadata
    ) -> Pool:
        """Return the pool of the request; a split keeps shared prompts together."""
        key = affinity_key(metadata.prompt) or metadata.request_id
        point = hash_to_fraction(route.name, key)
        total = sum(share.weight for share in route.pools)
        passed = 0.0
        name = route.pools[-1].pool
        for share in route.pools:
            passed += share.weight / total
            if point < passed:
                name = share.pool
                break
        return configuration.pools.get(name) or Pool(name, max_connections=0)

    def unless_stale(self, rejection: Rejection) -> Rejection:
        """Return the rejection, or a refusal if the configuration may be outdated."""
        age_ms = self.parts.configuration.age_ms()
        if age_ms is None or age_ms > CERTAIN_MS:
            return Rejection(UNAVAILABLE, "configuration may be outdated")
        return rejection

    def reject(
        self, rejection: Rejection, answer: AnswerWriter, log: RequestLog
    ) -> None:
        """Send the answer to a request that is not allowed."""
        retry_after_ms = 0
        if rejection.status == UNAVAILABLE:
            spread_ms = self.parts.random.randrange(UNPREPARED_SPREAD_MS)
            retry_after_ms = UNPREPARED_MS + spread_ms
        send_refusal(
            self.parts.dialect,
            answer,
            rejection.status,
            rejection.reason,
            log.request_id or None,
            retry_after_ms,
        )
        self.parts.metrics.refusals[rejection.status, rejection.reason] += 1
        log.write(
            REJECTED,
            status=rejection.status,
            reason=rejection.reason,
            configuration=self.parts.configuration.revision,
            age_ms=self.parts.configuration.age_ms(),
        )
