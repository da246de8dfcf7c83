"""Requests that arrive at a router that stops."""

import asyncio

import pytest

from medlarridge_direct._internal.coordination.route_durations import (
    MIN_SAMPLES,
    SAMPLES,
)
from medlarridge_direct._internal.coordination.stop_schedule import (
    BALANCER_REMOVAL_MS,
    STOP_MARGIN_MS,
)
from medlarridge_direct._internal.logs import Log
from medlarridge_direct._internal.protocol.configuration import RouteKind
from medlarridge_direct._internal.request_handler import RequestHandler

from .router_fleet import RouterFleet
from .samples import configuration, route
from .scripted import REFUSE, make_components
from .test_request_run import (
    END,
    ERROR,
    EVENT,
    NOT_EXECUTED_503,
    OK,
    STREAM,
    RecordedResponse,
    chunk,
    handle_request,
    sent_to,
)

pytestmark = pytest.mark.anyio

BUSY = b"HTTP/1.1 429 Busy\r\nId: 1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"


def make_stopping(scripts, left_ms, durations_ms=()):
    components = make_components(scripts)
    for duration_ms in durations_ms:
        components.durations.record("r-1", duration_ms)
    components.stop_schedule.begin(BALANCER_REMOVAL_MS + left_ms + STOP_MARGIN_MS)
    components.clock.advance(BALANCER_REMOVAL_MS)
    return components


async def never(*_):
    await asyncio.Event().wait()


class TestTimeLeft:
    async def test_a_safe_request_that_is_likely_to_fit_is_served(self):
        """Guards against a fleet that serves nothing while all routers stop."""
        scripts = {"a": [(OK,)]}
        components = make_stopping(scripts, 500, durations_ms=[90, 100] * MIN_SAMPLES)
        response, _ = await handle_request(scripts, components=components)
        assert (response.status, bytes(response.body)) == (200, b"ok")

    @pytest.mark.parametrize("durations_ms", [[], [90, 100] * MIN_SAMPLES])
    @pytest.mark.parametrize("kind", [RouteKind.AT_MOST_ONCE, RouteKind.IDEMPOTENT])
    async def test_a_request_whose_deadline_ends_it_in_time_is_served(
        self, kind, durations_ms
    ):
        """Guards against refusals of requests that cannot outlast the work."""
        scripts = {"a": [(OK,)]}
        components = make_stopping(scripts, 500, durations_ms)
        headers = [(b"deadline", b"250")]
        response, _ = await handle_request(
            scripts, kind, headers=headers, components=components
        )
        assert (response.status, bytes(response.body)) == (200, b"ok")

    async def test_a_request_that_may_not_be_repeated_is_not_taken_on_an_estimate(self):
        """Guards against "may have run" because a server was silent for a second."""
        scripts = {"a": [(OK,)]}
        components = make_stopping(scripts, 500, durations_ms=[90, 100] * MIN_SAMPLES)
        response, _ = await handle_request(
            scripts, RouteKind.AT_MOST_ONCE, components=components
        )
        assert response.status == 503
        assert not sent_to(components)

    @pytest.mark.parametrize(
        "durations_ms", [[], [100, 450], [100] * 7, [100, 450] * MIN_SAMPLES]
    )
    async def test_a_request_that_does_not_fit_is_refused_as_not_run(
        self, durations_ms
    ):
        """Guards against requests that a stopping router accepts and then cuts."""
        scripts = {"a": [(OK,)]}
        components = make_stopping(scripts, 500, durations_ms)
        response, _ = await handle_request(scripts, components=components)
        assert response.status == 503
        assert int(response.headers.split(b": ")[1].strip()) > 0
        assert not sent_to(components)

    async def test_a_stream_that_may_outlast_the_work_is_refused(self):
        """Guards against streams that are taken on an estimate and then cut."""
        scripts = {"a": [(OK,)]}
        components = make_stopping(scripts, 1_000, durations_ms=[100] * SAMPLES)
        response, _ = await handle_request(
            scripts, RouteKind.STREAM, components=components
        )
        assert response.status == 503
        assert not sent_to(components)

    async def test_a_stream_whose_deadline_ends_it_in_time_is_served(self):
        """Guards against refusals of streams that cannot outlast the work."""
        scripts = {"a": [(STREAM + chunk(EVENT) + END,)]}
        components = make_stopping(scripts, 1_000)
        response, _ = await handle_request(
            scripts,
            RouteKind.STREAM,
            headers=[(b"deadline", b"700")],
            components=components,
        )
        assert response.status == 200

    @pytest.mark.parametrize("answer", [NOT_EXECUTED_503, ERROR, BUSY, REFUSE])
    async def test_failures_and_refusals_are_no_durations(self, answer):
        """Guards against a route that looks fast because its servers fail or shed."""
        scripts = {"a": [answer if answer is REFUSE else (answer,)] * SAMPLES}
        components = make_components(scripts)
        for _ in range(SAMPLES):
            await handle_request(scripts, RouteKind.AT_MOST_ONCE, components=components)
        components.stop_schedule.begin(BALANCER_REMOVAL_MS + 1_000 + STOP_MARGIN_MS)
        components.clock.advance(BALANCER_REMOVAL_MS)
        components.connections.sent.clear()
        assert components.durations.estimate_ms("r-1") is None
        # A request of this kind would be taken on an estimate.
        components.configuration.apply_if_newer(
            configuration(route(RouteKind.IDEMPOTENT), version=6), 1_000_000
        )
        response, _ = await handle_request(scripts, components=components)
        assert response.status == 503
        assert not sent_to(components)
        assert b"router is stopping" in bytes(response.body)

    async def test_few_durations_tell_nothing(self):
        """Guards against an estimate that one or two requests make."""
        scripts = {"a": [(OK,)]}
        components = make_stopping(scripts, 500, durations_ms=[90, 100])
        response, _ = await handle_request(scripts, components=components)
        assert response.status == 503

    async def test_a_large_response_that_may_outlast_the_work_does_not_begin(self):
        """Guards against a response that is cut because it is too large to hold back."""
        head = OK.partition(b"Content-Length")[0] + b"Content-Length: 9000000\r\n\r\n"
        scripts = {"a": [(head + bytes(1_200_000),)]}
        components = make_stopping(scripts, 1_000, durations_ms=[100] * SAMPLES)
        response = RecordedResponse()
        task = asyncio.create_task(
            handle_request(scripts, components=components, response=response)
        )
        await asyncio.sleep(0.05)
        assert not response.started or response.ended
        task.cancel()
        await asyncio.wait([task])

    async def test_a_router_that_does_not_stop_learns_the_durations(self):
        """Guards against an estimate that never has samples."""
        scripts = {"a": [(OK,)] * 2}
        _, components = await handle_request(scripts)
        assert list(components.durations.samples_ms["r-1"]) == [0]


class TestPeers:
    async def test_a_router_knows_whether_another_one_serves(self):
        """Guards against a fleet of which no router accepts connections."""
        fleet = RouterFleet(2)
        await fleet.run(1_000, traffic=False)
        first, second = fleet.routers.values()
        assert not first.peers.any_serves()
        second.components.configuration.apply_if_newer(configuration(), 1_000_000)
        await fleet.run(200, traffic=False)
        assert first.peers.any_serves()
        second.reports.is_stopping = lambda: True
        await fleet.run(200, traffic=False)
        assert not first.peers.any_serves()


class TestUnfinishedRequests:
    @pytest.mark.parametrize(
        ("script", "stage"),
        [
            (None, "waiting"),
            ((), "sent"),
            ((STREAM + chunk(EVENT),), "begun"),
        ],
    )
    async def test_the_stage_of_an_unfinished_request_is_counted(self, script, stage):
        """Guards against logs that show requests which a stop ends as clients leaving."""
        scripts = {"a": [script]}
        components = make_components(scripts)
        if script is None:
            components.connections.acquire = never
        handler = RequestHandler(components, Log(components.clock, "node"))
        task = asyncio.create_task(
            handle_request(
                scripts, RouteKind.STREAM, components=components, handler=handler
            )
        )
        await asyncio.sleep(0.01)
        components.stop_schedule.begin(8_000)
        handler.end_all()
        await asyncio.wait([task])
        assert dict(components.metrics.ended_by_stop) == {stage: 1}
        assert components.metrics.requests["stream", "client-gone"] == 0
