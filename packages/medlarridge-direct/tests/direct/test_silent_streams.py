"""Streams whose server pauses for longer than is usual between two events."""

import asyncio

import pytest

from medlarridge_direct._internal import request_run
from medlarridge_direct._internal.protocol.configuration import RouteKind

from .scripted import ScriptedConnections, make_components
from .test_request_run import END, STREAM, handle_request, stream_event

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


class TestSilentServer:
    async def test_a_stream_is_not_cut_for_a_silence_if_no_other_server_can_go_on(
        self, monkeypatch
    ):
        """Guards against LOST: a server that pauses is left, and nobody goes on."""
        monkeypatch.setattr(request_run, "MIN_RESUME_TIMEOUT_MS", SILENCE_MS)
        monkeypatch.setattr(request_run, "RETRY_TIMEOUT_FACTOR", 0)
        components = make_components()
        components.connections = PausingConnections(
            {"a": [(STREAM + stream_event(1), stream_event(2) + END)]}
        )
        response, _ = await handle_request(
            {"a": []}, RouteKind.STREAM, components=components, resumable=True
        )
        assert response.started
        assert response.ended
