"""Servers that are silent for longer than is usual, before or inside a response."""

import asyncio

import pytest

from medlarridge_direct._internal import request_attempts
from medlarridge_direct._internal.coordination.server_health import EWMA_WEIGHT
from medlarridge_direct._internal.protocol.configuration import RouteKind
from medlarridge_direct._internal.settings import RetrySettings

from .scripted import REFUSE, RESET, ScriptedConnections, make_components
from .test_request_run import (
    END,
    ERROR,
    NOT_EXECUTED_503,
    OK,
    STREAM,
    handle_request,
    stream_event,
)

pytestmark = pytest.mark.anyio

SILENCE_MS = 50
PAUSE_S = 0.2


class PausingConnections(ScriptedConnections):
    """Scripted connections that receive the last step of a script after a pause."""

    def connect(self, server, script):
        if script is REFUSE:
            return super().connect(server, script)
        *steps, last = script
        connection = super().connect(server, steps)

        def receive_last():
            if connection.closed:
                return
            if last is RESET:
                connection.connection_lost(ConnectionResetError("reset"))
            elif last:
                connection.data_received(last)

        asyncio.get_running_loop().call_later(PAUSE_S, receive_last)
        return connection


@pytest.fixture
def short_silence(monkeypatch):
    """Make servers count as silent soon."""
    monkeypatch.setattr(request_attempts, "MIN_RETRY_TIMEOUT_MS", SILENCE_MS)
    monkeypatch.setattr(request_attempts, "MIN_RESUME_TIMEOUT_MS", SILENCE_MS)
    monkeypatch.setattr(request_attempts, "RETRY_TIMEOUT_FACTOR", 0)


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


NOTHING = b""
SECOND_SERVERS = {
    "refuses the connection": REFUSE,
    "does not run it": (NOT_EXECUTED_503, NOTHING),
    "resets": (RESET, NOTHING),
    "fails": (ERROR, NOTHING),
    "has it in a queue": (NOTHING,),
}


def in_order(*scripts):
    """Return components whose servers "a" and "b" get these scripts in turn."""
    components = pausing_components({})
    remaining = list(scripts)
    components.connections.scripts = {"a": remaining, "b": remaining}
    return components


async def handle_stream(components):
    response, _ = await handle_request(
        {"a": [], "b": []}, RouteKind.STREAM, components=components, resumable=True
    )
    return response


class TestServerThatGoesOnAfterASilence:
    """A sound server may be silent for a second or so and go on."""

    @pytest.mark.parametrize("second", SECOND_SERVERS)
    async def test_a_stream_is_whole_if_the_next_server_does_not_take_over(
        self, short_silence, second
    ):
        """Guards against LOST: a sound server is left for one that cannot go on."""
        components = in_order(PAUSING_STREAM, SECOND_SERVERS[second])
        response = await handle_stream(components)
        assert bytes(response.body) == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
        assert response.ended

    @pytest.mark.parametrize("second", SECOND_SERVERS)
    async def test_a_late_first_response_is_delivered(self, short_silence, second):
        """Guards against 502 although the first server answers after all."""
        components = in_order((OK,), SECOND_SERVERS[second])
        response, _ = await handle_request({"a": [], "b": []}, components=components)
        assert (response.status, bytes(response.body)) == (200, b"ok")

    async def test_it_is_left_once_the_next_server_responds(self, short_silence):
        """Guards against TWICE: two servers work on one stream."""
        components = in_order((STREAM + stream_event(1), NOTHING), PAUSING_STREAM)
        response = await handle_stream(components)
        (_, first), (_, second) = components.connections.sent
        assert response.ended
        assert first.aborted
        assert b"resume: 1" in second.written

    async def test_the_next_server_is_left_once_it_goes_on(self, short_silence):
        """Guards against a second run that goes on beside the first one."""
        components = in_order(PAUSING_STREAM, SECOND_SERVERS["has it in a queue"])
        await handle_stream(components)
        (_, first), (_, second) = components.connections.sent
        assert second.aborted
        assert not first.aborted

    async def test_its_crash_does_not_end_the_search(self, short_silence):
        """Guards against leaving the next server when the silent one ends."""
        components = in_order(
            (STREAM + stream_event(1), RESET), (STREAM + stream_event(2) + END,)
        )
        response = await handle_stream(components)
        assert response.ended
        assert len(sent_to(components)) == 2

    async def test_a_client_that_leaves_ends_both_attempts(self, short_silence):
        """Guards against GONE: a server goes on for a client that has left."""
        components = in_order((STREAM + stream_event(1), NOTHING), (NOTHING,))
        task = asyncio.ensure_future(handle_stream(components))
        await asyncio.sleep(2 * SILENCE_MS / 1000)
        assert len(sent_to(components)) == 2
        task.cancel()
        await asyncio.wait((task,))
        assert all(transport.aborted for _, transport in components.connections.sent)
        assert components.load.in_flight("a") == components.load.in_flight("b") == 0
        assert components.retry_budget.open_retries() == 0
