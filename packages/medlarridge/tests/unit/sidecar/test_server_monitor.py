import anyio
import httpx

from medlarridge_sidecar._internal.server_monitor import ServerMonitor


def monitor_of_reachable_server():
    transport = httpx.MockTransport(lambda request: httpx.Response(200))
    return ServerMonitor(httpx.AsyncClient(transport=transport), "http://server")


class TestServerMonitor:
    async def test_call_that_starts_after_the_break_does_not_hide_a_death(self):
        """Guards against a server that restarts at once and loses its strikes."""
        monitor = monitor_of_reachable_server()
        monitor.call_started("broken")
        verdicts = []

        async def judge():
            verdicts.append(await monitor.died_during("broken"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(judge)
            await anyio.wait_all_tasks_blocked()
            monitor.call_started("on the restarted server")
        assert verdicts == [True]
        assert monitor.calls == {"on the restarted server"}

    async def test_call_that_goes_on_shows_that_the_server_lives(self):
        """Guards against strikes for a single broken call."""
        monitor = monitor_of_reachable_server()
        monitor.call_started("broken")
        monitor.call_started("going on")
        assert not await monitor.died_during("broken")
        assert monitor.deaths == 0
