"""Servers that are silent for longer than is usual, before or inside a response."""

import asyncio

import pytest

from medlarridge_direct._internal import request_run
from medlarridge_direct._internal.coordination.server_health import EWMA_WEIGHT
from medlarridge_direct._internal.protocol.configuration import RouteKind
from medlarridge_direct._internal.settings import RetrySettings

from .scripted import ScriptedConnections, make_components
from .test_request_run import END, OK, STREAM, handle_request, stream_event

pytestmark = pytest.mark.anyio

SILENCE_MS = 50
PAUSE_S = 0.2


class PausingConnections(ScriptedConnections):
    """Scripted connections that receive the last step of a script after a pause."""

    def connect(self, server, script):
        *steps, last = script
        connection = super().connect(server, steps)

        def receive_last():
            if not connection.closed:
                connection.data_received(last)

        asyncio.get_running_loop().call_later(PAUSE_S, receive_last)
        return connection


@pytest.fixture
def short_silence(monkeypatch):
    """Make servers count as silent soon."""
    monkeypatch.setattr(request_run, "MIN_RETRY_TIMEOUT_MS", SILENCE_MS)
    monkeypatch.setattr(request_run, "MIN_RESUME_TIMEOUT_MS", SILENCE_MS)
    monkeypatch.setattr(request_run, "RETRY_TIMEOUT_FACTOR", 0)


PAUSING_STREAM = (STREAM + stream_event(1), stream_event(2) + END)


def pausing_components(scripts):
    components = make_components()
    components.connections = PausingConnections(scripts)
    return components


def sent_to(components):
    return [instance for instance, _ in components.connections.sent]


class TestSilentServer:
    async def test_a_stream_is_not_cut_for_a_silence_if_no_other_server_can_go_on(
        self, short_silence
    ):
        """Guards against LOST: a server that pauses is left, and nobody goes on."""
        components = pausing_components({"a": [PAUSING_STREAM]})
        response, _ = await handle_request(
            {"a": []}, RouteKind.STREAM, components=components, resumable=True
        )
        assert response.started
        assert response.ended

    @pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.IDEMPOTENT])
    async def test_a_first_response_is_waited_for_if_no_other_server_can_give_it(
        self, short_silence, kind
    ):
        """Guards against 502 although the only server would have answered."""
        response_bytes = PAUSING_STREAM if kind is RouteKind.STREAM else (OK,)
        components = pausing_components({"a": [(b"".join(response_bytes),)]})
        response, _ = await handle_request(
            {"a": []}, kind, components=components, resumable=kind is RouteKind.STREAM
        )
        assert response.status == 200
        assert response.ended

    async def test_a_stream_is_not_cut_if_the_budget_allows_no_retry(
        self, short_silence
    ):
        """Guards against a server that is left when no other may be tried."""
        components = pausing_components({"a": [PAUSING_STREAM], "b": [PAUSING_STREAM]})
        components.retry_budget.limits = RetrySettings(ratio=0, slack=0, window_s=10)
        response, _ = await handle_request(
            {"a": [], "b": []},
            RouteKind.STREAM,
            components=components,
            resumable=True,
        )
        assert response.ended
        assert len(sent_to(components)) == 1

    async def test_a_stream_is_not_cut_if_all_others_have_another_version(
        self, short_silence
    ):
        """Guards against a server that is left for one that cannot go on."""
        components = pausing_components({"a": [PAUSING_STREAM], "b": [PAUSING_STREAM]})
        response, _ = await handle_request(
            {"a": [], "b": []},
            RouteKind.STREAM,
            components=components,
            versions={"a": "v1", "b": "v2"},
            resumable=True,
        )
        assert response.ended
        assert len(sent_to(components)) == 1

    async def test_a_stream_goes_on_at_another_server_of_its_version(
        self, short_silence
    ):
        """Guards against a wait for a silent server although another can go on."""
        components = pausing_components({"a": [PAUSING_STREAM], "b": [PAUSING_STREAM]})
        await handle_request(
            {"a": [], "b": []},
            RouteKind.STREAM,
            components=components,
            resumable=True,
        )
        assert len(sent_to(components)) == 2

    async def test_a_long_silence_is_recorded_once(self, short_silence):
        """Guards against a server that counts as failing for one long pause."""
        components = pausing_components({"a": [PAUSING_STREAM]})
        await handle_request(
            {"a": []}, RouteKind.STREAM, components=components, resumable=True
        )
        assert components.health.servers["a"].failed_share == EWMA_WEIGHT
