import pytest

from medlarridge_standins.local_fleet import local_fleet

URL = "http://router"
CHAT_URL = f"{URL}/v1/chat/completions"
CHAT = {"model": "missing", "messages": [{"role": "user", "content": "hello"}]}
REQUESTS = {
    "missing route": (404, "POST", CHAT_URL, {"json": CHAT}),
    "malformed body": (400, "POST", CHAT_URL, {"content": b"{"}),
    "large body": (413, "POST", CHAT_URL, {"content": b"x" * 1_100_000}),
    "large headers": (431, "POST", CHAT_URL, {"headers": {"x-a": "x" * 17_000}}),
    "missing endpoint": (404, "GET", f"{URL}/nothing", {}),
    "list of routes": (200, "GET", f"{URL}/v1/models", {}),
}


class TestCallerEndpoints:
    @pytest.mark.parametrize("name", REQUESTS)
    async def test_every_response_names_outcome_and_request(self, name):
        """Guards against responses that do not say whether the request ran, or that
        operators cannot trace for lack of a request ID."""
        status, method, url, content = REQUESTS[name]
        async with local_fleet({"routes": {}, "pools": {}}) as fleet:
            fleet.add_router("router")
            response = await fleet.client.request(method, url, **content)
        assert response.status_code == status
        expected = "complete" if status == 200 else "not-run"
        assert response.headers["x-medlarridge-outcome"] == expected
        assert len(response.headers["x-medlarridge-request"]) == 24
