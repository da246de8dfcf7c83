"""Run the demo: start both fleets, show what they do, and check each step."""

import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import httpx
import msgspec

from medlarridge._internal.clock import MS_PER_S, SystemClock

from .console import Console, StepFailed
from .processes import WaitTimeout
from .running_fleet import RunningFleet, running_fleet
from .steps import STEPS, Step
from .workloads import WORKLOADS, Workload

STEP_LIMIT_S = 60
END_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
STEP_ERRORS = (StepFailed, WaitTimeout, TimeoutError, httpx.HTTPError)


@cappa.command(name="demo")
@dataclass
class Demo:
    """Show a small fleet of real processes for each of the two workloads."""

    keep: Annotated[
        bool, cappa.Arg(long=True, help="Leave one fleet running until Ctrl-C.")
    ] = False

    async def run(self) -> bool:
        """Run all steps and return whether all went well."""
        clock, console = SystemClock(), Console()
        started_ms = clock.now_ms()
        workloads = WORKLOADS[:1] if self.keep else WORKLOADS
        async with anyio.create_task_group() as tasks:
            interrupt = Interrupt(tasks.cancel_scope, console)
            tasks.start_soon(interrupt.watch)
            for workload in workloads:
                with tempfile.TemporaryDirectory(prefix="medlarridge-demo-") as path:
                    kept = interrupt if self.keep else None
                    await show_fleet(workload, Path(path), console, kept)
            tasks.cancel_scope.cancel()
        elapsed_s = (clock.now_ms() - started_ms) / MS_PER_S
        print(
            f"\n{console.checks} checks held, {console.failures} steps failed, "
            f"{elapsed_s:.1f} s"
        )
        return console.failures == 0


class Interrupt:
    """Ends the demo, and with it its processes, at Ctrl-C, SIGTERM or the end of the terminal."""

    def __init__(self, scope: anyio.CancelScope, console: Console) -> None:
        self.scope = scope
        self.narrator = console
        self.expected = False
        self.asked = anyio.Event()

    async def watch(self) -> None:
        """Wait for a signal; it is a failure unless the demo waits for it."""
        with anyio.open_signal_receiver(*END_SIGNALS) as signals:
            async for number in signals:
                self.asked.set()
                if not self.expected:
                    self.narrator.fail(f"the demo was ended by {number.name}")
                    self.scope.cancel()

    async def wait(self) -> None:
        """Wait for the signal that ends a fleet that was left running."""
        self.expected = True
        await self.asked.wait()
        self.expected = False


async def show_fleet(
    workload: Workload, directory: Path, console: Console, kept: Interrupt | None
) -> None:
    """Start a fleet, show all steps with it and end it."""
    console.chapter(f"{workload.name} (region {workload.region})")
    async with running_fleet(workload, directory) as fleet:
        async with anyio.create_task_group() as tasks:
            for step in STEPS:
                went_well = await run_step(step, fleet, console)
                if step is STEPS[0]:
                    # The other steps need a fleet that runs.
                    if not went_well:
                        break
                    tasks.start_soon(fleet.restart_crashed)
            if kept is not None:
                show_commands(fleet)
                await kept.wait()
            tasks.cancel_scope.cancel()
        await run_step(Step("All processes end in order", end_fleet), fleet, console)


async def run_step(step: Step, fleet: RunningFleet, console: Console) -> bool:
    """Run one step and return whether it went well."""
    console.heading(step.title)
    clock, failures = SystemClock(), console.failures
    started_ms = clock.now_ms()
    try:
        with anyio.fail_after(STEP_LIMIT_S):
            await step.run(fleet, console)
    except* STEP_ERRORS as group:
        for error in flatten(group):
            console.fail(str(error) or type(error).__name__)
        show_ended(fleet, console)
    console.say(f"({(clock.now_ms() - started_ms) / MS_PER_S:.1f} s)")
    return console.failures == failures


def flatten(error: BaseException) -> list[BaseException]:
    """Return the errors in a group."""
    if isinstance(error, BaseExceptionGroup):
        return [inner for part in error.exceptions for inner in flatten(part)]
    return [error]


def show_ended(fleet: RunningFleet, console: Console) -> None:
    """Print the end of the log of each process that ended with an error."""
    for child in fleet.children:
        if child.status:
            console.say(f"{child.name} has ended with status {child.status}:")
            console.output(child.last_lines())


async def end_fleet(fleet: RunningFleet, console: Console) -> None:
    """End all processes and check how they ended."""
    faults = await fleet.end()
    console.check(
        not faults,
        f"{len(fleet.children)} processes ended"
        + "".join(f"; {fault}" for fault in faults),
    )


def show_commands(fleet: RunningFleet) -> None:
    """Print commands to try on a fleet that is left running."""
    workload = fleet.workload
    chat = msgspec.json.encode(
        {
            "model": workload.engine_route,
            "stream": True,
            "messages": [{"role": "user", "content": workload.texts.streamed}],
        }
    ).decode()
    call = msgspec.json.encode(workload.call_body).decode()
    first, second = fleet.routers
    call_url = second.url(f"/services/{workload.service_route}/{workload.call_path}")
    account = f"-H 'X-Medlarridge-Account: {workload.accounts[0]}'"
    store = f"MEDLARRIDGE_STORE={fleet.platform_url}"
    print(
        f"""
The fleet runs until Ctrl-C. Commands to try:

curl -N {first.url("/v1/chat/completions")} {account} \\
    -H 'X-Medlarridge-Chat: my-chat' -d '{chat}'
curl -i {call_url} {account} \\
    -H 'Idempotency-Key: my-key' -d '{call}'
curl {first.url("/v1/models")}
curl http://{first.operator}/metrics
{store} .venv/bin/python -m medlarridge_router get
{store} .venv/bin/python -m medlarridge_router history routes
.venv/bin/python -m medlarridge_router status {first.settings}
.venv/bin/python -m medlarridge_router explain --settings {first.settings} \\
    --route {workload.engine_route} --chat my-chat --account {workload.accounts[0]}
""",
        flush=True,
    )


def main() -> None:
    """Run the demo and exit with its status."""
    demo = cappa.parse(Demo)
    sys.exit(0 if anyio.run(demo.run) else 1)


if __name__ == "__main__":
    main()
