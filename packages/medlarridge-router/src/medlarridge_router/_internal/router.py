"""Router: accepts requests of callers and sends each to a sidecar."""

from random import Random

import anyio
import httpx

from medlarridge._internal.clock import MS_PER_S, Clock
from medlarridge._internal.coordination.drain import Drain
from medlarridge._internal.coordination.retry import RetryPlanner
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.identity import Instance
from medlarridge._internal.metrics import RouterMetrics
from medlarridge._internal.protocol.caller import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    CallerRequest,
)
from medlarridge._internal.protocol.messages import Outcome
from medlarridge._internal.transport.asgi import (
    HttpRequest,
    HttpResponse,
    ResponseAborted,
)
from medlarridge._internal.transport.auth import SharedKey

from .account_limits import AccountLimits
from .failures import Failure
from .observations import Observations
from .placements import PoolPlacements
from .request_run import RequestRun
from .slow_servers import SlowServers

REQUEST_ID_BITS = 96
DEFAULT_MAX_IN_FLIGHT = 2_000


class Router:
    """Serves the requests of callers."""

    def __init__(
        self,
        instance: Instance,
        fleet: FleetView,
        client: httpx.AsyncClient,
        key: SharedKey,
        clock: Clock,
        random: Random,
        metrics: RouterMetrics,
        account_limits: AccountLimits | None = None,
        max_in_flight: int = DEFAULT_MAX_IN_FLIGHT,
    ) -> None:
        self.instance = instance
        self.fleet = fleet
        self.client = client
        self.key = key
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.account_limits = account_limits
        self.slow_servers = SlowServers(fleet, clock, random)
        self.max_in_flight = max_in_flight
        self.drain = Drain()
        self.planner = RetryPlanner(clock, random)
        self.placements = PoolPlacements(fleet)
        self.observations = Observations(fleet, clock)

    def new_request_id(self) -> str:
        """Return the identifier of a new request."""
        return f"{self.random.getrandbits(REQUEST_ID_BITS):024x}"

    async def serve(
        self, caller: CallerRequest, request: HttpRequest, response: HttpResponse
    ) -> None:
        """Serve one request, or refuse it above the limit or while draining."""
        request_id = self.new_request_id()
        refusal = ""
        if self.drain.in_flight >= self.max_in_flight:
            refusal = "this router has too many requests in flight"
        elif not self.drain.start_work():
            refusal = "this router is leaving"
        if refusal:
            failure = Failure(Outcome.NOT_RUN, 503, refusal, MS_PER_S)
            await self.reply_failure(response, request_id, failure)
            return
        self.metrics.in_flight.set(self.drain.in_flight)
        try:
            await self.serve_until_disconnect(caller, request, response, request_id)
        finally:
            self.drain.end_work()
            self.metrics.in_flight.set(self.drain.in_flight)

    async def serve_until_disconnect(
        self,
        caller: CallerRequest,
        request: HttpRequest,
        response: HttpResponse,
        request_id: str,
    ) -> None:
        """Serve one request, and cancel it if the caller disconnects."""
        aborted: ResponseAborted | None = None
        async with anyio.create_task_group() as tasks:

            async def watch_caller() -> None:
                await request.wait_disconnect()
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch_caller)
            try:
                await RequestRun(self, caller, response, request_id).run()
            except ResponseAborted as error:
                aborted = error
            tasks.cancel_scope.cancel()
        if aborted is not None:
            raise aborted

    async def reply_failure(
        self, response: HttpResponse, request_id: str, failure: Failure
    ) -> None:
        """Send the error response of a failed request."""
        headers = [(OUTCOME_HEADER, failure.outcome), (REQUEST_HEADER, request_id)]
        if failure.retry_after_ms:
            seconds = -(-failure.retry_after_ms // MS_PER_S)
            headers.append(("retry-after", str(seconds)))
        body = {
            "error": {
                "message": failure.message,
                "type": failure.outcome,
                "request": request_id,
            }
        }
        await response.reply_json(failure.status, body, headers)
