"""Steps of the demo; each demonstrates and checks one feature with real requests."""

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

APPLY_TIMEOUT_S = 15
"""Time within which an accepted edit applies everywhere, as the design page states."""
DRAIN_TIMEOUT_S = 30
STREAM_TOKENS = 40
LONG_STREAM_TOKENS = 150
SHORT_TOKENS = 16
MAX_CRASHED_ENGINES = 5
MAX_SENDS = 10
STRIKE_LIMIT = 3
OUTCOMES_METRIC = "medlarridge_sidecar_outcomes_total{"
HTTP_OK = 200
HTTP_UNPROCESSABLE = 422

StepFunction = Callable[[RunningFleet, Console], Awaitable[None]]


@dataclass(frozen=True)
class Step:
    """A titled step of the demo."""

    title: str
    run: StepFunction


STEPS: list[Step] = []


def step(title: str) -> Callable[[StepFunction], StepFunction]:
    """Return a decorator that registers a step."""

    def decorate(function: StepFunction) -> StepFunction:
        STEPS.append(Step(title, function))
        return function

    return decorate


def new_chat(fleet: RunningFleet, name: str, question: str, account: int = 0) -> Chat:
    """Return a chat that starts with the workload's system prompt."""
    messages = [
        {"role": "system", "content": fleet.workload.prompts.system_prompt},
        {"role": "user", "content": question},
    ]
    return Chat(fleet.workload.accounts[account], name, messages)


def tables_of(fleet: RunningFleet) -> dict[str, Any]:
    """Return the routes and pools tables of the workload."""
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
    """Write a tables file and apply it with the router command."""
    path = fleet.directory / name
    path.write_bytes(msgspec.json.format(msgspec.json.encode(tables)))
    console.print_command(f"python -m medlarridge_router apply {name}")
    result = await fleet.command("apply", str(path))
    console.print_output(result.output + result.errors)
    return result


async def read_tables(fleet: RunningFleet) -> dict[str, Any]:
    """Return the tables printed by the router's ``get`` command."""
    result = await fleet.command("get")
    return msgspec.json.decode(result.output)


async def generations(fleet: RunningFleet, vms: list[Vm]) -> set[int]:
    """Return the configuration generations in use on the given VMs."""
    return {(await fleet.status(vm))["generation"] for vm in vms}  # type: ignore[misc]


@step("Start: processes, VM list, both tables")
async def start(fleet: RunningFleet, console: Console) -> None:
    """Start everything, register the VMs and apply the tables."""
    clock = SystemClock()
    started_ms = clock.now_ms()
    fleet.start_all()
    await fleet.register_vms()
    console.print_text(
        f"{len(fleet.children)} processes on the loopback interface: the platform, "
        f"{len(fleet.servers)} backend servers with a sidecar each, "
        f"{len(fleet.routers)} routers, in {', '.join(fleet.workload.data_centres)}."
    )
    applied = await apply(fleet, console, "tables.json", tables_of(fleet))
    console.check(applied.status == ExitStatus.OK, "both tables were written")
    await fleet.wait_ready()
    elapsed_s = (clock.now_ms() - started_ms) / MS_PER_S
    console.check(True, f"every daemon is ready after {elapsed_s:.1f} s")


@step("A chat continues through another router and reuses its cached prefix")
async def returning_chat(fleet: RunningFleet, console: Console) -> None:
    """Send two turns of a chat through different routers."""
    first, second = fleet.routers
    chat = new_chat(fleet, "chat-1", fleet.workload.prompts.chat)
    response = await send_chat(fleet, first, chat)
    console.check(
        response.status == HTTP_OK and response.outcome == "complete",
        f"{first.name} serves turn 1: status {response.status}, {response.outcome}",
    )
    console.check(
        response.text() == expected_completion(chat.messages),
        "the response is complete",
    )
    chat.messages += [
        {"role": "assistant", "content": response.text()},
        {"role": "user", "content": fleet.workload.prompts.follow_up},
    ]
    response = await send_chat(fleet, second, chat)
    console.check(
        response.status == HTTP_OK
        and response.text() == expected_completion(chat.messages),
        f"{second.name} serves turn 2 with a complete response",
    )
    cached, prompt = response.cached_tokens(), response.prompt_tokens()
    console.check(
        cached > prompt // 2,
        f"the engine found {cached} of {prompt} prompt tokens in its cache",
    )


@step("A streamed response ends with its outcome")
async def streamed_response(fleet: RunningFleet, console: Console) -> None:
    """Stream a response and check its text and outcome."""
    chat = new_chat(fleet, "chat-2", fleet.workload.prompts.streamed, 1)
    response = StreamedResponse()
    await stream_chat(fleet, fleet.routers[1], chat, response, STREAM_TOKENS)
    console.print_text(f"the response begins: {response.text()[:50]}...")
    console.check(
        response.text() == expected_completion(chat.messages, STREAM_TOKENS),
        f"{len(response.pieces)} pieces form the complete response",
    )
    console.check(
        response.outcome == "complete" and response.done,
        f"event medlarridge-outcome reports {response.outcome!r}, then data: [DONE]",
    )


@step("An at-most-once call that is sent twice runs once")
async def call_at_most_once(fleet: RunningFleet, console: Console) -> None:
    """Send a non-idempotent call twice with one key, through both routers."""
    workload = fleet.workload
    responses = [await call_service(fleet, router) for router in fleet.routers]
    for router, response in zip(fleet.routers, responses, strict=True):
        console.check(
            response.status == HTTP_OK and response.outcome == "complete",
            f"{workload.call} with key {workload.call_key} through {router.name}: "
            f"status {response.status}, {response.outcome}",
        )
    console.check(
        responses[0].body == responses[1].body
        and responses[1].headers.get("x-medlarridge-repeated") == "1",
        "the second response repeats the recorded first one",
    )
    effects = await count_effects(fleet)
    console.check(effects == 1, f"effects at the service: {effects}")


@step("A table edit takes effect on every router")
async def accepted_edit(fleet: RunningFleet, console: Console) -> None:
    """Add a route and measure the time until every daemon uses it."""
    workload = fleet.workload
    before = max(await generations(fleet, fleet.vms()))
    tables = await read_tables(fleet)
    tables["routes"][workload.new_route] = {"pools": [workload.engine_pool]}
    clock = SystemClock()
    applied = await apply(fleet, console, "new-route.json", tables)
    written_ms = clock.now_ms()
    console.check(applied.status == ExitStatus.OK, "the edit was written")

    async def reached(vms: list[Vm]) -> bool:
        return min(await generations(fleet, vms)) > before

    for name, vms in (("router", fleet.routers), ("daemon", fleet.vms())):
        await wait_until(
            lambda vms=vms: reached(vms), f"every {name} to apply it", APPLY_TIMEOUT_S
        )
        elapsed_s = (clock.now_ms() - written_ms) / MS_PER_S
        console.check(
            elapsed_s <= APPLY_TIMEOUT_S,
            f"in effect on every {name} {elapsed_s:.1f} s after the command "
            f"(limit {APPLY_TIMEOUT_S} s)",
        )
    for router in fleet.routers:
        chat = new_chat(fleet, f"new-{router.name}", workload.prompts.chat, 1)
        response = await send_chat(fleet, router, chat, workload.new_route)
        console.check(
            response.status == HTTP_OK,
            f"{router.name} serves the new route {workload.new_route}",
        )


@step("An invalid table edit is rejected and changes nothing")
async def rejected_edit(fleet: RunningFleet, console: Console) -> None:
    """Apply a route to a missing pool, then an edit based on an outdated version."""
    workload = fleet.workload
    before = await read_tables(fleet)
    generations_before = await generations(fleet, fleet.vms())
    invalid = deepcopy(before)
    invalid["routes"][workload.engine_route]["pools"] = ["no-such-pool"]
    result = await apply(fleet, console, "missing-pool.json", invalid)
    console.check(
        result.status == ExitStatus.FAILED and "no-such-pool" in result.errors,
        f"exit status {result.status} with the reason",
    )
    outdated = deepcopy(before)
    outdated["routes"]["another"] = {"pools": [workload.engine_pool]}
    outdated["versions"]["routes"] -= 1
    result = await apply(fleet, console, "old-version.json", outdated)
    console.check(
        result.status == ExitStatus.CONFLICT,
        f"an edit based on an outdated version: exit status {result.status}",
    )
    console.check(
        await read_tables(fleet) == before
        and await generations(fleet, fleet.vms()) == generations_before,
        "tables, versions and the configuration in use are unchanged",
    )


@step("A request that crashes engines is refused after a few crashes")
async def crashing_request(fleet: RunningFleet, console: Console) -> None:
    """Repeat a request that crashes every engine that runs it until it is refused."""
    chat = new_chat(fleet, "chat-3", fleet.workload.prompts.crashing)
    refused = 0
    for sent in range(1, MAX_SENDS + 1):
        router = fleet.routers[sent % len(fleet.routers)]
        response = await send_chat(fleet, router, chat)
        console.print_text(
            f"sent through {router.name}: status {response.status}, "
            f"{response.outcome}; engine crashes so far: {fleet.crashes}"
        )
        refused += response.status == HTTP_UNPROCESSABLE
        if refused == len(fleet.routers):
            break
        await anyio.sleep(0.5)
    console.check(
        refused == len(fleet.routers) and response.outcome == "not-run",
        f"refused: {response.error()}",
    )
    console.check(
        STRIKE_LIMIT <= fleet.crashes <= MAX_CRASHED_ENGINES,
        f"{fleet.crashes} engines of the pool crashed and were restarted",
    )
    for router in fleet.routers:
        other = new_chat(fleet, f"after-{router.name}", fleet.workload.prompts.chat)
        response = await send_chat(fleet, router, other)
        console.check(
            response.status == HTTP_OK, f"{router.name} still serves other requests"
        )


@step("A sidecar drains with a stream in flight")
async def drained_sidecar(fleet: RunningFleet, console: Console) -> None:
    """Send SIGTERM to the sidecar that serves a long stream."""
    first, second = fleet.routers
    chat = new_chat(fleet, "chat-4", fleet.workload.prompts.long, 2)
    response = StreamedResponse()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_chat, fleet, first, chat, response, LONG_STREAM_TOKENS)
        await wait_until(
            lambda: len(response.pieces) > 3, "pieces of the stream", DRAIN_TIMEOUT_S
        )
        serving = await serving_vm(fleet)
        ended_before = await ended_attempts(fleet, serving)
        serving.daemon.terminate()
        console.print_text(
            f"{serving.name} in {serving.data_centre} serves a stream and has sent "
            f"{len(response.pieces)} pieces; its sidecar receives SIGTERM"
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
            await ended_attempts(fleet, serving) == ended_before,
            "that response came from another server",
        )
    console.check(
        response.text() == expected_completion(chat.messages, LONG_STREAM_TOKENS)
        and response.outcome == "complete"
        and response.done,
        f"the stream is complete: {len(response.pieces)} pieces, {response.outcome}",
    )
    status = await serving.daemon.wait_for_exit(DRAIN_TIMEOUT_S)
    console.check(status == 0, f"the sidecar exited with status {status}")


async def serving_vm(fleet: RunningFleet) -> ServerVm:
    """Return the VM that has a request in flight."""
    states = {vm.name: await fleet.status(vm) for vm in fleet.servers}
    return next(vm for vm in fleet.servers if states[vm.name]["in_flight"])


async def ended_attempts(fleet: RunningFleet, vm: ServerVm) -> float:
    """Return the number of finished attempts in a sidecar's metrics."""
    text = (await fleet.client.get(f"http://{vm.operator}/metrics")).text
    lines = [line for line in text.splitlines() if line.startswith(OUTCOMES_METRIC)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)
