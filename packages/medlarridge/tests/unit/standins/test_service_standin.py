import httpx
import pytest

from medlarridge_standins.loopback import serve_on_loopback
from medlarridge_standins.service import Service, ServiceSettings


class TestServiceStandin:
    async def test_counts_effects_by_idempotency_key(self):
        """Guards against duplicate effects that tests cannot observe."""
        service = Service(ServiceSettings("", lose_answers=1))
        headers = {"idempotency-key": "plug-7"}
        async with (
            serve_on_loopback(service.endpoints) as url,
            httpx.AsyncClient(base_url=url, trust_env=False) as client,
        ):
            with pytest.raises(httpx.RemoteProtocolError):
                await client.post("/plugs/7", headers=headers)
            await client.post("/plugs/7", headers=headers)
            await client.put("/plugs/8/setpoint")
            effects = (await client.get("/effects")).json()
        assert effects["total"] == 3
        assert effects["keys"] == {"plug-7": 2, "": 1}
