"""Runs the real binaries with the stand-ins, started as README.md shows."""

from pathlib import Path

import anyio
import httpx
import msgspec
import pytest

from medlarridge_standins.demo.processes import (
    ChildProcess,
    PortAllocator,
    end_all,
    wait_until,
)
from medlarridge_standins.demo.requests import StreamedResponse, apply_event
from medlarridge_standins.engine import expected_completion

EXAMPLES = Path(__file__).parents[4] / "examples"
TIMEOUT_S = 60
STREAM_TOKENS = 60
MESSAGES = [{"role": "user", "content": "Draft the plug plan for berth 14."}]
EXAMPLE_ADDRESSES = {
    "platform": "127.0.0.1:7000",
    "callers": "127.0.0.1:7080",
    "router": "127.0.0.1:7100",
    "router_operator": "127.0.0.1:7190",
    "sidecar": "127.0.0.1:7200",
    "sidecar_operator": "127.0.0.1:7290",
    "engine": "127.0.0.1:7300",
}


class ExampleFleet:
    """The example of README.md on free ports."""

    def __init__(self, directory):
        self.directory = directory
        ports = PortAllocator()
        self.addresses = {name: ports.allocate_address() for name in EXAMPLE_ADDRESSES}
        self.children = []
        self.client = httpx.AsyncClient(trust_env=False, timeout=TIMEOUT_S)

    def example(self, name):
        text = (EXAMPLES / name).read_text()
        for endpoint, address in EXAMPLE_ADDRESSES.items():
            text = text.replace(address, self.addresses[endpoint])
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def start(self, name, *arguments):
        child = ChildProcess(name, arguments, self.directory / f"{name}.log")
        self.children.append(child)
        return child

    def start_all(self):
        standins = "medlarridge_standins"
        self.start(
            "platform", standins, "platform", "--bind", self.addresses["platform"]
        )
        self.start("engine", standins, "engine", "--bind", self.addresses["engine"])
        settings = self.example("sidecar.toml")
        self.sidecar = self.start("sidecar", "medlarridge_sidecar", "serve", settings)
        settings = self.example("router.toml")
        self.router = self.start("router", "medlarridge_router", "serve", settings)

    async def answers(self, url):
        try:
            return (await self.client.get(url)).is_success
        except httpx.TransportError:
            return False

    async def set_up(self):
        platform = f"http://{self.addresses['platform']}"
        await wait_until(lambda: self.answers(f"{platform}/vms"), "platform", TIMEOUT_S)
        for name in ("router", "sidecar"):
            body = {"data_centre": "manzanillo-a"}
            await self.client.put(f"{platform}/vms/{self.addresses[name]}", json=body)
        tables = self.example("tables.toml")
        apply = ("apply", "--store", platform, "--who", "maria", tables)
        command = self.start("apply", "medlarridge_router", *apply)
        assert await command.ended(TIMEOUT_S) == 0, command.last_lines()
        for name in ("router", "sidecar"):
            url = f"http://{self.addresses[f'{name}_operator']}/readyz"
            await wait_until(
                lambda url=url: self.answers(url), f"{name} ready", TIMEOUT_S
            )
        await wait_until(self.has_answered, "the first answer", TIMEOUT_S)

    async def has_answered(self):
        """Return whether a chat succeeds; until then its outcome must be not run."""
        answer = await self.chat()
        if answer.status_code == 200:
            return True
        assert answer.headers["x-medlarridge-outcome"] == "not-run", answer.text
        return False

    def chat_url(self):
        return f"http://{self.addresses['callers']}/v1/chat/completions"

    async def chat(self):
        body = {"model": "plug-plan", "messages": MESSAGES}
        return await self.client.post(self.chat_url(), json=body)

    async def stream(self, answer):
        body = {
            "model": "plug-plan",
            "messages": MESSAGES,
            "stream": True,
            "max_tokens": STREAM_TOKENS,
        }
        event = ""
        async with self.client.stream("POST", self.chat_url(), json=body) as reply:
            async for line in reply.aiter_lines():
                key, _, value = line.partition(": ")
                if key == "data":
                    apply_event(answer, event, value)
                else:
                    event = value


@pytest.fixture
async def fleet(tmp_path):
    example = ExampleFleet(tmp_path)
    try:
        example.start_all()
        yield example
    finally:
        await end_all(example.children)
        await example.client.aclose()


class TestBinaries:
    async def test_chat_and_shutdown_with_a_stream_in_flight(self, fleet):
        """Guards against binaries that do not work together as README.md says, and
        against a shutdown that aborts a request in flight."""
        await fleet.set_up()
        answer = await fleet.chat()
        assert answer.headers["x-medlarridge-outcome"] == "complete"
        text = msgspec.json.decode(answer.content)["choices"][0]["message"]["content"]
        assert text == expected_completion(MESSAGES)

        streamed = StreamedResponse()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.stream, streamed)
            await wait_until(lambda: len(streamed.pieces) > 2, "stream", TIMEOUT_S)
            fleet.sidecar.terminate()
            fleet.router.terminate()
            assert not streamed.done
        assert streamed.text() == expected_completion(MESSAGES, STREAM_TOKENS)
        assert (streamed.outcome, streamed.done) == ("complete", True)
        for daemon in (fleet.sidecar, fleet.router):
            assert await daemon.ended(TIMEOUT_S) == 0, daemon.last_lines()
        listed = await fleet.client.get(
            f"http://{fleet.addresses['platform']}/objects",
            params={"prefix": "audit/drains/"},
        )
        assert f"audit/drains/{fleet.addresses['sidecar']}/" in listed.text
