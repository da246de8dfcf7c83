import pytest

from medlarridge._internal.identity import Role
from medlarridge._internal.node import Node, NodeIdentity
from medlarridge._internal.settings import RouterSettings
from medlarridge._internal.state.platform import PlatformStore
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_router._internal.daemon import RouterDaemon
from medlarridge_sidecar._internal.server_call import ServerClient
from medlarridge_standins.loopback import serve_on_loopback

UNUSED = "127.0.0.1:9"
SETTINGS = {
    "link": UNUSED,
    "operator": UNUSED,
    "callers": UNUSED,
    "data_centre": "a",
    "region": "r",
    "platform": "http://127.0.0.1:9",
    "shared_key": "a shared key for tests",
}


def router_client():
    settings = RouterSettings.model_validate(SETTINGS)
    return RouterDaemon(settings, Node(settings, NodeIdentity(Role.ROUTER))).client


CLIENTS = {
    "router": router_client,
    "sidecar": lambda: ServerClient("http://127.0.0.1:9").client,
    "store": lambda: PlatformStore("http://127.0.0.1:9").client,
}


class TestDirectConnections:
    @pytest.mark.parametrize("name", CLIENTS)
    async def test_proxy_variables_are_ignored(self, name, monkeypatch):
        """Guards against requests that are sent through a proxy because the environment
        of the VM sets proxy variables."""
        for variable in ("HTTP_PROXY", "http_proxy", "ALL_PROXY", "all_proxy"):
            monkeypatch.setenv(variable, "http://127.0.0.1:9")
        for variable in ("NO_PROXY", "no_proxy"):
            monkeypatch.delenv(variable, raising=False)
        endpoints = Endpoints()

        @endpoints.register("GET", "/health")
        async def health(request, response):
            await response.reply(200, b"ok")

        async with serve_on_loopback(endpoints) as url, CLIENTS[name]() as client:
            assert (await client.get(f"{url}/health", timeout=30)).text == "ok"
