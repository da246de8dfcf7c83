import asyncio
import signal

import pytest
from soak.content import stream_event_count

from .deployment import LONG_STREAM, READ, endpoint

pytestmark = pytest.mark.anyio
STREAM_COUNT = 6
SHORT = range(8, 15)
"""Events of streams that are open when a stop begins and end before the router does."""
LONG = range(30, 43)
"""Events of streams that are open for the length of a test."""


def begin_streams(deployment, event_counts):
    """Begin streams of these lengths, each as a new client; return their tasks."""
    names = (f"stream{number}" for number in range(1_000))
    suitable = [
        name for name in names if stream_event_count(f"{name}-0001") in event_counts
    ]
    return [
        asyncio.create_task(deployment.send(LONG_STREAM, name=name))
        for name in suitable[:STREAM_COUNT]
    ]


async def wait_until_running(deployment):
    """Wait until all streams are at their server."""
    await deployment.wait_until(
        lambda: len(deployment.events_of("run")) == STREAM_COUNT, "streams to run"
    )


class TestReload:
    async def test_sighup_applies_changed_settings(self, serving):
        """Guards against limits that take effect only after a restart."""
        streams = begin_streams(serving, LONG)
        await wait_until_running(serving)
        before = await serving.explain("/talk/1")
        serving.write_settings(**{"bounds.capFactor": "9"})
        serving.signal(signal.SIGHUP)
        await serving.wait_for_line("MR6103", changed=True)
        assert (await serving.explain("/talk/1"))["load_limit"] > before["load_limit"]
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)

    async def test_sighup_reloads_a_file_that_looks_unchanged(self, serving):
        """Guards against a signal that is ignored, as the file's time is watched too."""
        assert serving.find_lines("MR6103") == []
        serving.signal(signal.SIGHUP)
        await serving.wait_for_line("MR6103", changed=False)

    async def test_invalid_settings_are_reported_and_the_router_serves(self, serving):
        """Guards against a router that ends by a wrong file."""
        serving.write_settings(**{"bounds.capFactor": "-1"})
        serving.signal(signal.SIGHUP)
        line = await serving.wait_for_line("MR6104")
        assert "factor" in line["cause"]
        assert (await serving.send(READ)).served


class TestStop:
    async def test_requests_in_flight_are_answered(self, serving):
        """Guards against responses that a stop of the built router cuts."""
        streams = begin_streams(serving, SHORT)
        await wait_until_running(serving)
        serving.signal(signal.SIGTERM)
        stopping = await serving.wait_for_line("MR6101")
        requests = await asyncio.gather(*streams)
        assert await serving.wait_for_exit() == 0
        assert stopping["in_flight"] == STREAM_COUNT
        assert [each.lost for each in requests if not each.served] == []
        assert [each.violations for each in requests if each.violations] == []
        assert serving.lines[-1]["code"] == "MR6102"
        assert serving.lines[-1]["in_flight"] == 0

    async def test_a_stop_before_the_router_is_ready_ends_it(self, deployment):
        """Guards against a router without a store that can only be killed."""
        deployment.write_settings()
        await deployment.start_router()
        await deployment.wait_for_line("MR6100")
        deployment.signal(signal.SIGTERM)
        assert await deployment.wait_for_exit() == 0
        assert deployment.lines[-1]["code"] == "MR6102"


class TestKill:
    async def test_a_killed_router_starts_again(self, serving):
        """Guards against addresses or state that a killed process leaves behind."""
        assert (await serving.send(READ)).served
        # Lines that are not written yet are lost with the process.
        await serving.wait_for_line("MR6100")
        serving.signal(signal.SIGKILL)
        assert await serving.wait_for_exit() == -signal.SIGKILL
        serving.write_settings(**{"bootstrap|json": "false"})
        await serving.start_router()
        await serving.wait_until_serving()
        assert (await serving.send(READ)).served
        started = {"clients": endpoint(serving.clients)}
        await serving.wait_until(
            lambda: len(serving.find_lines("MR6100", **started)) == 2, "a second start"
        )
