import os
import socket
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import httpx
import pytest

import medlarridge_standins
from medlarridge._internal.clock import ManualClock
from medlarridge_standins.engine import (
    CRASH_STATUS,
    CrashScope,
    Engine,
    EngineSettings,
    expected_completion,
)
from medlarridge_standins.loopback import serve_on_loopback
from medlarridge_standins.prefix_cache import CHARACTERS_PER_TOKEN

QUESTION = [{"role": "user", "content": "Which plugs does the night shift need?"}]
MARKER = "crash the engine"


def new_engine(**settings):
    instant = {"prefill_tokens_per_s": 0, "token_ms": 0, "kv_tokens_per_s": 0}
    exact = {"load_lag_ms": 0, "events_lag_ms": 0, "events_loss": 0}
    return Engine(EngineSettings("", **{**instant, **exact, **settings}), ManualClock())


@asynccontextmanager
async def client_of(engine):
    async with (
        serve_on_loopback(engine.endpoints, engine.run_batches) as url,
        httpx.AsyncClient(base_url=url, timeout=30, trust_env=False) as client,
    ):
        yield client


def body(messages=QUESTION, **fields):
    return {"messages": messages, **fields}


async def ask(client, chat="c", **fields):
    headers = {"x-medlarridge-chat": chat}
    return await client.post(
        "/v1/chat/completions", json=body(**fields), headers=headers
    )


def returning_chat(count):
    messages = list(QUESTION)
    for turn in range(count):
        completion = expected_completion(messages, 5)
        messages.append({"role": "assistant", "content": completion})
        messages.append({"role": "user", "content": f"And at gate {turn}?"})
    return messages


class TestEngineStandin:
    async def test_stream_and_json_carry_the_same_completion(self):
        """Guards against tests that mistake a partial response for a complete one."""
        async with client_of(new_engine()) as client:
            whole = (await ask(client, max_tokens=5)).json()
            streamed = await ask(client, max_tokens=5, stream=True)
        text = expected_completion(QUESTION, 5)
        assert whole["choices"][0]["message"]["content"] == text
        events = streamed.text.split("\n\n")
        assert events[5:] == ["data: [DONE]", ""]
        assert len(events[:5]) == len(text.split())

    async def test_returning_chat_finds_its_prefix_until_it_is_evicted(self):
        """Guards against reuse measured with a cache that never evicts."""
        async with client_of(new_engine(cache_tokens=60)) as client:
            cached = [
                int(
                    (await ask(client, chat, messages=m, max_tokens=5)).headers[
                        "x-cached-tokens"
                    ]
                )
                for chat, m in (
                    ("c", QUESTION),
                    ("c", returning_chat(1)),
                    ("other", returning_chat(4)),
                    ("c", returning_chat(2)),
                )
            ]
        assert cached[0] == 0
        assert cached[1] > 0
        assert cached[2:] == [0, 0]

    async def test_changed_message_ends_the_cached_prefix(self):
        """Guards against reuse of a prefix cached for a different text."""
        edited = returning_chat(2)
        edited[1] = {"role": "assistant", "content": "none"}
        async with client_of(new_engine()) as client:
            await ask(client, messages=returning_chat(1), max_tokens=5)
            response = await ask(client, messages=edited, max_tokens=5)
        first = len(QUESTION[0]["content"]) // CHARACTERS_PER_TOKEN + 1
        assert int(response.headers["x-cached-tokens"]) == first

    async def test_urgent_requests_run_first(self):
        """Guards against an engine that ignores priorities."""
        engine = new_engine(batch=1)
        order = []

        async def ask_and_record(client, priority):
            await ask(client, priority=priority, max_tokens=2)
            order.append(priority)

        async with client_of(engine) as client:
            engine.scheduler.settings.batch = 0
            async with anyio.create_task_group() as tasks:
                for priority in (0, 5, 9):
                    tasks.start_soon(ask_and_record, client, priority)
                while len(engine.scheduler.waiting) < 3:
                    await anyio.sleep(0.001)
                engine.scheduler.settings.batch = 1
        assert order == [9, 5, 0]

    async def test_closed_connection_cancels_the_work(self):
        """Guards against an engine that keeps working after the client disconnected."""
        engine = new_engine(token_ms=1)
        async with client_of(engine) as client:
            request = body(max_tokens=100_000, stream=True)
            async with client.stream(
                "POST", "/v1/chat/completions", json=request
            ) as response:
                await anext(response.aiter_lines())
            while engine.scheduler.running:
                await anyio.sleep(0.001)
        assert engine.scheduler.load.current().outstanding_tokens == 0

    @pytest.mark.parametrize("stream", [True, False])
    async def test_crash_ends_all_streams_abnormally(self, stream):
        """Guards against a crash that a client mistakes for a complete response."""
        engine = new_engine(token_ms=1, crash_marker=MARKER, crash=CrashScope.STREAMS)
        async with client_of(engine) as client:

            async def expect_crash(**fields):
                with pytest.raises(httpx.RemoteProtocolError):
                    await ask(client, **fields)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    lambda: expect_crash(max_tokens=100_000, stream=stream)
                )
                while not engine.scheduler.running:
                    await anyio.sleep(0.001)
                crashing = [{"role": "user", "content": f"please {MARKER} now"}]
                await expect_crash(messages=crashing, stream=stream)
            assert (await ask(client, max_tokens=1)).status_code == 200

    def test_crash_can_end_the_process(self):
        """Guards against crash tests in which no process crashes."""
        module = [sys.executable, "-m", "medlarridge_standins", "engine"]
        package = Path(medlarridge_standins.__file__).parents[1]
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port, fd = listener.getsockname()[1], listener.fileno()
            process = subprocess.Popen(
                [*module, "--bind", f"fd://{fd}", "--crash-marker", MARKER],
                pass_fds=[fd],
                env={"PYTHONPATH": os.pathsep.join([str(package), *sys.path])},
            )
        url = f"http://127.0.0.1:{port}/v1/chat/completions"
        crashing = body([{"role": "user", "content": MARKER}])
        try:
            with pytest.raises(httpx.TransportError):
                httpx.post(url, json=crashing, timeout=60, trust_env=False)
            assert process.wait(timeout=60) == CRASH_STATUS
        finally:
            process.kill()
            process.wait()

    async def test_import_transfers_only_the_missing_blocks(self):
        """Guards against imports that transfer or report more than the missing blocks."""
        source, target = new_engine(), new_engine()
        chat = {"messages": returning_chat(1), "max_tokens": 5}
        async with client_of(source) as client:
            await ask(client, **chat)
            exported = (await client.post("/kv/export", json={"chat": "c"})).json()
            tail = {"chat": "c", "after_tokens": exported["blocks"][0]["tokens"]}
            missing = (await client.post("/kv/export", json=tail)).json()
        async with client_of(target) as client:
            refused = await client.post("/kv/import", json=missing)
            exported["blocks"] = exported["blocks"][:1]
            for part in (exported, missing):
                imported = await client.post("/kv/import", json=part)
            again = await ask(client, messages=returning_chat(2), max_tokens=5)
        assert refused.status_code == 409
        assert int(again.headers["x-cached-tokens"]) == imported.json()["tokens"]

    async def test_cache_events_are_late_and_have_gaps(self):
        """Guards against code that relies on complete and immediate cache events."""
        engine = new_engine(events_lag_ms=100, events_loss=0.5, seed=3)
        for chat in range(20):
            engine.events.publish(f"chat {chat}", 1)
        assert engine.events.events_after(0) == []
        engine.events.clock.advance(100)
        numbers = [event.number for event in engine.events.events_after(4)]
        assert 0 < len(numbers) < 16
        assert numbers == sorted(set(numbers))
        assert numbers[0] > 4

    async def test_load_lags(self):
        """Guards against load balancing that relies on current load reports."""
        engine = new_engine(load_lag_ms=100)
        async with client_of(engine) as client:
            engine.scheduler.settings.batch = 0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: ask(client))
                while not engine.scheduler.waiting:
                    await anyio.sleep(0.001)
                early = (await client.get("/load")).json()
                engine.scheduler.load.clock.advance(100)
                late = (await client.get("/load")).json()
                tasks.cancel_scope.cancel()
        assert (early["waiting"], late["waiting"]) == (0, 1)

    @pytest.mark.parametrize(("checks", "expected_status"), [(True, 409), (False, 204)])
    async def test_old_fencing_number(self, checks, expected_status):
        """Guards against tests in which all or no engines check fencing numbers."""
        engine = new_engine(checks_fencing=checks)
        order = {"kind": "load-model", "name": "asistente-frio"}
        async with client_of(engine) as client:
            for number in (2, 1):
                sent = {**order, "fencing_number": number}
                response = await client.post("/orders", json=sent)
            done = (await client.get("/orders")).json()
        assert response.status_code == expected_status
        assert len(done) == (1 if checks else 2)
