"""Run the demo: start a fleet for each workload, then run and check each step."""

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

STEP_TIMEOUT_S = 60
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
        """Run all steps and return whether all succeeded."""
        clock, console = SystemClock(), Console()
        started_ms = clock.now_ms()
        workloads = WORKLOADS[:1] if self.keep else WORKLOADS
        async with anyio.create_task_group() as tasks:
            shutdown = ShutdownSignal(tasks.cancel_scope, console)
            tasks.start_soon(shutdown.watch)
            for workload in workloads:
                with tempfile.TemporaryDirectory(prefix="medlarridge-demo-") as path:
                    shutdown_signal = shutdown if self.keep else None
                    await run_fleet_demo(workload, Path(path), console, shutdown_signal)
            tasks.cancel_scope.cancel()
        elapsed_s = (clock.now_ms() - started_ms) / MS_PER_S
        print(
            f"\n{console.checks} checks passed, {console.failures} steps failed, "
            f"{elapsed_s:.1f} s"
        )
        return console.failures == 0


class ShutdownSignal:
    """Stops the demo and its processes on SIGINT, SIGTERM or SIGHUP."""

    def __init__(self, scope: anyio.CancelScope, console: Console) -> None:
        self.scope = scope
        self.console = console
        self.expected = False
        self.received = anyio.Event()

    async def watch(self) -> None:
        """Wait for signals; a signal is a failure unless the demo waits for one."""
        with anyio.open_signal_receiver(*END_SIGNALS) as signals:
            async for number in signals:
                self.received.set()
                if not self.expected:
                    self.console.fail(f"the demo was interrupted by {number.name}")
                    self.scope.cancel()

    async def wait(self) -> None:
        """Wait for the signal that stops a fleet left running by ``--keep``."""
        self.expected = True
        await self.received.wait()
        self.expected = False


async def run_fleet_demo(
    workload: Workload,
    directory: Path,
    console: Console,
    shutdown_signal: ShutdownSignal | None,
) -> None:
    """Start a fleet, run all steps on it and stop it."""
    console.print_section(f"{workload.name} (region {workload.region})")
    async with running_fleet(workload, directory) as fleet:
        async with anyio.create_task_group() as tasks:
            for step in STEPS:
                succeeded = await run_step(step, fleet, console)
                if step is STEPS[0]:
                    # The other steps need a running fleet.
                    if not succeeded:
                        break
                    tasks.start_soon(fleet.restart_crashed)
            if shutdown_signal is not None:
                print_commands(fleet)
                await shutdown_signal.wait()
            tasks.cancel_scope.cancel()
        await run_step(
            Step("All processes shut down cleanly", stop_fleet), fleet, console
        )


async def run_step(step: Step, fleet: RunningFleet, console: Console) -> bool:
    """Run one step and return whether it succeeded."""
    console.print_step(step.title)
    clock, failures = SystemClock(), console.failures
    started_ms = clock.now_ms()
    try:
        with anyio.fail_after(STEP_TIMEOUT_S):
            await step.run(fleet, console)
    except* STEP_ERRORS as group:
        for error in flatten(group):
            console.fail(str(error) or type(error).__name__)
        print_failed_processes(fleet, console)
    console.print_text(f"({(clock.now_ms() - started_ms) / MS_PER_S:.1f} s)")
    return console.failures == failures


def flatten(error: BaseException) -> list[BaseException]:
    """Return all errors in a possibly nested exception group."""
    if isinstance(error, BaseExceptionGroup):
        return [inner for part in error.exceptions for inner in flatten(part)]
    return [error]


def print_failed_processes(fleet: RunningFleet, console: Console) -> None:
    """Print the last log lines of each process that exited with an error."""
    for child in fleet.children:
        if child.status:
            console.print_text(f"{child.name} exited with status {child.status}:")
            console.print_output(child.last_lines())


async def stop_fleet(fleet: RunningFleet, console: Console) -> None:
    """Stop all processes and check that they exited cleanly."""
    failures = await fleet.stop()
    console.check(
        not failures,
        f"{len(fleet.children)} processes exited"
        + "".join(f"; {failure}" for failure in failures),
    )


def print_commands(fleet: RunningFleet) -> None:
    """Print commands to try on a fleet left running."""
    workload = fleet.workload
    chat = msgspec.json.encode(
        {
            "model": workload.engine_route,
            "stream": True,
            "messages": [{"role": "user", "content": workload.prompts.streamed}],
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
