import anyio
import httpx

from medlarridge_sidecar._internal.server_monitor import ServerMonitor


def monitor_of_reachable_server():
    transport = httpx.MockTransport(lambda request: httpx.Response(200))
    return ServerMonitor(httpx.AsyncClient(transport=transport), "http://server")


class TestServerMonitor:
    async def test_call_started_after_a_crash_does_not_hide_it(self):
        """Guards against missing strikes if the server restarts immediately.

        Calls at the restarted server continue, but say nothing about the crash.
        """
        monitor = monitor_of_reachable_server()
        monitor.call_started("broken")
        results = []

        async def check():
            results.append(await monitor.crashed_during("broken"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(check)
            await anyio.wait_all_tasks_blocked()
            monitor.call_started("on the restarted server")
        assert results == [True]
        assert monitor.active_calls == {"on the restarted server"}

    async def test_single_broken_call_is_no_crash(self):
        """Guards against strikes for a broken call while other calls continue."""
        monitor = monitor_of_reachable_server()
        monitor.call_started("broken")
        monitor.call_started("going on")
        assert not await monitor.crashed_during("broken")
        assert monitor.crash_count == 0
