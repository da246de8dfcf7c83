import pytest

from .deployment import READ

pytestmark = pytest.mark.anyio


class TestMissingStore:
    async def test_a_router_waits_for_its_store(self, deployment):
        """Guards against a router that ends, or never recovers, without its store."""
        deployment.write_settings()
        await deployment.start_router()
        await deployment.wait_for_line("MR6120")
        assert await deployment.readiness_status() == 503
        assert (await deployment.send(READ)).status == 503
        status, page = await deployment.get_metrics()
        assert status == 200
        assert b"\nmedlarridge_ready 0.0\n" in page
        assert b"\nmedlarridge_store_reachable 0.0\n" in page
        await deployment.start_platform()
        await deployment.wait_for_line("MR6121")
        await deployment.wait_until_serving()
        assert (await deployment.send(READ)).served
