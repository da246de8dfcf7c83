"""Steps of the demo; each shows one thing with real requests and checks it."""

from collections.abc import Awaitable, Callable
from copy import deepcopy
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

from medlarridge._internal.clock import MS_PER_S, SystemClock
from medlarridge._internal.command_line import ExitStatus

from ..engine import expected_completion
from .console import Console
from .processes import wait_until
from .requests import (
    Chat,
    StreamedResponse,
    call_service,
    count_effects,
    send_chat,
    stream_chat,
)
from .running_fleet import CommandResult, RunningFleet, ServerVm, Vm

IN_FORCE_LIMIT_S = 15
"""Time in which an accepted edit is in force everywhere, by the design page."""
DRAIN_LIMIT_S = 30
STREAM_TOKENS = 40
LONG_STREAM_TOKENS = 150
SHORT_TOKENS = 16
MAX_CRASHED_ENGINES = 5
MAX_SENDS = 10
STRIKES = 3
OUTCOMES_METRIC = "medlarridge_sidecar_outcomes_total{"
HTTP_OK = 200
HTTP_UNPROCESSABLE = 422

StepFunction = Callable[[RunningFleet, Console], Awaitable[None]]


@dataclass(frozen=True)
class Step:
    """A part of the demo."""

    title: str
    run: StepFunction


STEPS: list[Step] = []


def step(title: str) -> Callable[[StepFunction], StepFunction]:
    """Return a decorator that adds a step."""

    def decorate(function: StepFunction) -> StepFunction:
        STEPS.append(Step(title, function))
        return function

    return decorate


def new_chat(fleet: RunningFleet, name: str, question: str, account: int = 0) -> Chat:
    """Return a chat that begins with the script."""
    messages = [
        {"role": "system", "content": fleet.workload.texts.script},
        {"role": "user", "content": question},
    ]
    return Chat(fleet.workload.accounts[account], name, messages)


def tables_of(fleet: RunningFleet) -> dict[str, Any]:
    """Return both tables of the workload."""
    workload = fleet.workload
    centres = list(workload.data_centres)
    return {
        "versions": {"routes": 0, "pools": 0},
        "routes": {
            workload.engine_route: {"pools": [workload.engine_pool]},
            workload.service_route: {
                "pools": [workload.service_pool],
                "repeatable": False,
            },
        },
        "pools": {
            workload.engine_pool: {"kind": "engine", "data_centres": centres},
            workload.service_pool: {"kind": "service", "data_centres": centres},
        },
    }


async def apply(
    fleet: RunningFleet, console: Console, name: str, tables: dict[str, Any]
) -> CommandResult:
    """Write a tables file and run the real command on it."""
    path = fleet.directory / name
    path.write_bytes(msgspec.json.format(msgspec.json.encode(tables)))
    console.command(f"python -m medlarridge_router apply {name}")
    result = await fleet.command("apply", str(path))
    console.output(result.output + result.errors)
    return result


async def read_tables(fleet: RunningFleet) -> dict[str, Any]:
    """Return the tables file that the real command prints."""
    result = await fleet.command("get")
    return msgspec.json.decode(result.output)


async def generations(fleet: RunningFleet, vms: list[Vm]) -> set[int]:
    """Return the generations in force on some VMs."""
    return {(await fleet.status(vm))["generation"] for vm in vms}  # type: ignore[misc]


@step("Start: processes, VM list, both tables")
async def start(fleet: RunningFleet, console: Console) -> None:
    """Start everything, register the VMs and apply the tables."""
    clock = SystemClock()
    started_ms = clock.now_ms()
    fleet.start_all()
    await fleet.register_vms()
    console.say(
        f"{len(fleet.children)} processes on the loopback interface: the platform, "
        f"{len(fleet.servers)} backend servers with a sidecar each, "
        f"{len(fleet.routers)} routers, in {', '.join(fleet.workload.data_centres)}."
    )
    applied = await apply(fleet, console, "tables.json", tables_of(fleet))
    console.check(applied.status == ExitStatus.OK, "both tables are written")
    await fleet.wait_ready()
    elapsed_s = (clock.now_ms() - started_ms) / MS_PER_S
    console.check(True, f"every daemon is ready after {elapsed_s:.1f} s")


@step("A chat returns through another router and finds its prefix")
async def returning_chat(fleet: RunningFleet, console: Console) -> None:
    """Send two turns of a chat through different routers."""
    first, second = fleet.routers
    chat = new_chat(fleet, "chat-1", fleet.workload.texts.chat)
    answer = await send_chat(fleet, first, chat)
    console.check(
        answer.status == HTTP_OK and answer.outcome == "complete",
        f"{first.name} answers turn 1: status {answer.status}, {answer.outcome}",
    )
    console.check(
        answer.text() == expected_completion(chat.messages), "the answer is whole"
    )
    chat.messages += [
        {"role": "assistant", "content": answer.text()},
        {"role": "user", "content": fleet.workload.texts.follow_up},
    ]
    answer = await send_chat(fleet, second, chat)
    console.check(
        answer.status == HTTP_OK
        and answer.text() == expected_completion(chat.messages),
        f"{second.name} answers turn 2, whole",
    )
    cached, prompt = answer.cached_tokens(), answer.prompt_tokens()
    console.check(
        cached > prompt // 2,
        f"the engine found {cached} of {prompt} prompt tokens in its cache",
    )


@step("A streamed answer ends with its outcome")
async def streamed_answer(fleet: RunningFleet, console: Console) -> None:
    """Stream an answer."""
    chat = new_chat(fleet, "chat-2", fleet.workload.texts.streamed, 1)
    answer = StreamedResponse()
    await stream_chat(fleet, fleet.routers[1], chat, answer, STREAM_TOKENS)
    console.say(f"the answer begins: {answer.text()[:50]}...")
    console.check(
        answer.text() == expected_completion(chat.messages, STREAM_TOKENS),
        f"{len(answer.pieces)} pieces make the whole answer",
    )
    console.check(
        answer.outcome == "complete" and answer.done,
        f"event medlarridge-outcome says {answer.outcome!r}, then comes data: [DONE]",
    )


@step("A call that must run at most once is sent twice")
async def call_once(fleet: RunningFleet, console: Console) -> None:
    """Send a non-idempotent call twice with one key, through both routers."""
    workload = fleet.workload
    answers = [await call_service(fleet, router) for router in fleet.routers]
    for router, answer in zip(fleet.routers, answers, strict=True):
        console.check(
            answer.status == HTTP_OK and answer.outcome == "complete",
            f"{workload.call} with key {workload.call_key} through {router.name}: "
            f"status {answer.status}, {answer.outcome}",
        )
    console.check(
        answers[0].body == answers[1].body
        and answers[1].headers.get("x-medlarridge-repeated") == "1",
        "the second answer is the recorded first one",
    )
    effects = await count_effects(fleet)
    console.check(effects == 1, f"effects at the service: {effects}")


@step("A table edit comes into force on every router")
async def accepted_edit(fleet: RunningFleet, console: Console) -> None:
    """Add a route and time until every daemon uses it."""
    workload = fleet.workload
    before = max(await generations(fleet, fleet.vms()))
    tables = await read_tables(fleet)
    tables["routes"][workload.new_route] = {"pools": [workload.engine_pool]}
    clock = SystemClock()
    applied = await apply(fleet, console, "new-route.json", tables)
    written_ms = clock.now_ms()
    console.check(applied.status == ExitStatus.OK, "the edit is written")

    async def reached(vms: list[Vm]) -> bool:
        return min(await generations(fleet, vms)) > before

    for name, vms in (("router", fleet.routers), ("daemon", fleet.vms())):
        await wait_until(
            lambda vms=vms: reached(vms), f"every {name} to apply it", IN_FORCE_LIMIT_S
        )
        elapsed_s = (clock.now_ms() - written_ms) / MS_PER_S
        console.check(
            elapsed_s <= IN_FORCE_LIMIT_S,
            f"in force on every {name} {elapsed_s:.1f} s after the command "
            f"(limit {IN_FORCE_LIMIT_S} s)",
        )
    for router in fleet.routers:
        chat = new_chat(fleet, f"new-{router.name}", workload.texts.chat, 1)
        answer = await send_chat(fleet, router, chat, workload.new_route)
        console.check(
            answer.status == HTTP_OK,
            f"{router.name} serves the new route {workload.new_route}",
        )


@step("A wrong table edit is rejected and changes nothing")
async def rejected_edit(fleet: RunningFleet, console: Console) -> None:
    """Point a route to a missing pool, then repeat an edit from an old version."""
    workload = fleet.workload
    before = await read_tables(fleet)
    in_force = await generations(fleet, fleet.vms())
    wrong = deepcopy(before)
    wrong["routes"][workload.engine_route]["pools"] = ["no-such-pool"]
    result = await apply(fleet, console, "missing-pool.json", wrong)
    console.check(
        result.status == ExitStatus.FAILED and "no-such-pool" in result.errors,
        f"exit status {result.status} and the reason",
    )
    old = deepcopy(before)
    old["routes"]["another"] = {"pools": [workload.engine_pool]}
    old["versions"]["routes"] -= 1
    result = await apply(fleet, console, "old-version.json", old)
    console.check(
        result.status == ExitStatus.CONFLICT,
        f"an edit made from an older version: exit status {result.status}",
    )
    console.check(
        await read_tables(fleet) == before
        and await generations(fleet, fleet.vms()) == in_force,
        "tables, versions and the configuration in force are unchanged",
    )


@step("A request that crashes engines is refused after a few")
async def crashing_request(fleet: RunningFleet, console: Console) -> None:
    """Send a request that ends every engine which runs it, again and again."""
    chat = new_chat(fleet, "chat-3", fleet.workload.texts.crashing)
    refused = 0
    for sent in range(1, MAX_SENDS + 1):
        router = fleet.routers[sent % len(fleet.routers)]
        answer = await send_chat(fleet, router, chat)
        console.say(
            f"sent through {router.name}: status {answer.status}, {answer.outcome}; "
            f"engines lost so far: {fleet.crashes}"
        )
        refused += answer.status == HTTP_UNPROCESSABLE
        if refused == len(fleet.routers):
            break
        await anyio.sleep(0.5)
    console.check(
        refused == len(fleet.routers) and answer.outcome == "not-run",
        f"refused: {answer.error()}",
    )
    console.check(
        STRIKES <= fleet.crashes <= MAX_CRASHED_ENGINES,
        f"{fleet.crashes} of the pool's engines were lost to it, and restarted",
    )
    for router in fleet.routers:
        other = new_chat(fleet, f"after-{router.name}", fleet.workload.texts.chat)
        answer = await send_chat(fleet, router, other)
        console.check(
            answer.status == HTTP_OK, f"{router.name} still answers other requests"
        )


@step("A sidecar drains with a stream in flight")
async def drained_sidecar(fleet: RunningFleet, console: Console) -> None:
    """Send SIGTERM to the sidecar that serves a long stream."""
    first, second = fleet.routers
    chat = new_chat(fleet, "chat-4", fleet.workload.texts.long, 2)
    answer = StreamedResponse()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_chat, fleet, first, chat, answer, LONG_STREAM_TOKENS)
        await wait_until(lambda: len(answer.pieces) > 3, "the stream", DRAIN_LIMIT_S)
        serving = await serving_vm(fleet)
        answered = await answered_by(fleet, serving)
        serving.daemon.terminate()
        console.say(
            f"{serving.name} in {serving.data_centre} serves a stream and has sent "
            f"{len(answer.pieces)} pieces; its sidecar gets SIGTERM"
        )
        other = await send_chat(fleet, second, chat, max_tokens=SHORT_TOKENS)
        console.check(
            other.status == HTTP_OK and other.outcome == "complete",
            f"the same chat through {second.name} meanwhile: status {other.status}, "
            f"{other.outcome}",
        )
        state = await fleet.status(serving)
        console.check(
            state["phase"] == "draining" and state["in_flight"] == 1,
            f"{serving.name} is {state['phase']} with {state['in_flight']} in flight",
        )
        console.check(
            await answered_by(fleet, serving) == answered,
            "that answer came from another server",
        )
    console.check(
        answer.text() == expected_completion(chat.messages, LONG_STREAM_TOKENS)
        and answer.outcome == "complete"
        and answer.done,
        f"the stream ended whole: {len(answer.pieces)} pieces, {answer.outcome}",
    )
    status = await serving.daemon.ended(DRAIN_LIMIT_S)
    console.check(status == 0, f"the sidecar ended with exit status {status}")


async def serving_vm(fleet: RunningFleet) -> ServerVm:
    """Return the only VM that has a request in flight."""
    states = {vm.name: await fleet.status(vm) for vm in fleet.servers}
    return next(vm for vm in fleet.servers if states[vm.name]["in_flight"])


async def answered_by(fleet: RunningFleet, vm: ServerVm) -> float:
    """Return how many attempts a sidecar has ended, by its metrics."""
    text = (await fleet.client.get(f"http://{vm.operator}/metrics")).text
    lines = [line for line in text.splitlines() if line.startswith(OUTCOMES_METRIC)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)
