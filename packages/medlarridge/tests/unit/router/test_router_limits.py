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
    async def test_request_above_the_limit_is_refused_at_once(self):
        """Guards against a router that takes more work than its settings allow, and
        against attempts that the sidecar's metrics do not count."""
        started, released = anyio.Event(), anyio.Event()
        answers = []
        async with local_fleet(TABLES) as fleet:
            sidecar = fleet.add_server(
                "one", "engines", waiting_engine(started, released)
            )
            router = fleet.add_router("router")
            router.max_in_flight = 1

            async def ask():
                url = "http://router/v1/chat/completions"
                answers.append(await fleet.client.post(url, json=CHAT, timeout=30))

            with anyio.fail_after(30):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask)
                    await started.wait()
                    await ask()
                    released.set()
            refused, answered = answers
        assert refused.status_code == 503
        assert refused.headers["x-medlarridge-outcome"] == "not-run"
        assert int(refused.headers["retry-after"]) > 0
        assert answered.status_code == 200
        value = sidecar.metrics.registry.get_sample_value
        assert value("medlarridge_sidecar_attempts_total", {"result": "run"}) == 1
        assert value("medlarridge_sidecar_wait_seconds_count") == 1
