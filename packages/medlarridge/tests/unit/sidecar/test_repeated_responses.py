from contextlib import asynccontextmanager

import anyio
import pytest
from msgspec.structs import replace

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.attempts import AttemptRegister
from medlarridge_sidecar._internal.live_attempt import LiveAttempt
from medlarridge_sidecar._internal.server_call import ServerClient

from .test_server_call import ATTEMPT

EARLIER = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@asynccontextmanager
async def repeating_server():
    """Refuse the first call; repeat that before what follows on its connection."""
    refused = []

    async def serve(stream):
        repeated = b""
        async with stream:
            while True:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                response = repeated + ANSWER
                if not refused:
                    refused.append(stream)
                    response = repeated = EARLIER
                await stream.send(response)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"http://127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def status_of_call(client, attempt):
    register = AttemptRegister(ManualClock())
    live = LiveAttempt(attempt, register.add(attempt), register.open(attempt))
    await client.call(live, 60_000)
    return live.stream.head.status


class TestRepeatedResponses:
    @pytest.mark.parametrize("repeatable", [False, True])
    async def test_a_repeated_response_is_not_to_the_next_call(self, repeatable):
        """Guards against one caller's response that another caller gets."""
        attempt = replace(ATTEMPT, repeatable=repeatable)
        async with repeating_server() as url:
            client = ServerClient(url)
            statuses = [await status_of_call(client, attempt) for _ in range(2)]
            await client.close()
        assert statuses == [503, 200]
