import anyio

from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_standins.local_fleet import local_fleet

TABLES = {
    "routes": {"chats": {"pools": ["engines"]}},
    "pools": {"engines": {"kind": "engine", "data_centres": ["data-centre-a"]}},
}
CHAT = {"model": "chats", "messages": [{"role": "user", "content": "hello"}]}


def waiting_engine(started, released):
    endpoints = Endpoints()

    @endpoints.register("POST", "/v1/chat/completions")
    async def complete(request, response):
        await request.body()
        started.set()
        await released.wait()
        await response.reply_json(200, {})

    return endpoints


class TestMaxInFlight:
    async def test_request_above_the_limit_is_refused_immediately(self):
        """Guards against a router that exceeds the configured limit, and against
        attempts that are missing in the metrics of the sidecar."""
        started, released = anyio.Event(), anyio.Event()
        responses = []
        async with local_fleet(TABLES) as fleet:
            sidecar = fleet.add_server(
                "one", "engines", waiting_engine(started, released)
            )
            router = fleet.add_router("router")
            router.max_in_flight = 1

            async def send_request():
                url = "http://router/v1/chat/completions"
                responses.append(await fleet.client.post(url, json=CHAT, timeout=30))

            with anyio.fail_after(30):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_request)
                    await started.wait()
                    await send_request()
                    released.set()
            refused, completed = responses
        assert refused.status_code == 503
        assert refused.headers["x-medlarridge-outcome"] == "not-run"
        assert int(refused.headers["retry-after"]) > 0
        assert completed.status_code == 200
        value = sidecar.metrics.registry.get_sample_value
        assert value("medlarridge_sidecar_attempts_total", {"result": "run"}) == 1
        assert value("medlarridge_sidecar_wait_seconds_count") == 1
