"""A fleet of the real binaries and simulated components as loopback processes."""

import secrets
import subprocess
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import cycle
from pathlib import Path

import anyio
import httpx
import msgspec

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.transport.auth import SharedKey

from .processes import (
    POLL_MS,
    ChildProcess,
    PortAllocator,
    child_environment,
    end_all,
    python_command,
    wait_until,
)
from .workloads import ENGINES, ROUTERS, SERVICE_SERVERS, Workload

START_TIMEOUT_S = 40
STOP_TIMEOUT_S = 20
REQUEST_TIMEOUT_S = 30
OPERATOR_NAME = "demo-operator"


@dataclass
class Vm:
    """A VM that runs a router or sidecar daemon."""

    name: str
    data_centre: str
    link: str
    operator: str
    settings: Path
    daemon: ChildProcess


@dataclass
class RouterVm(Vm):
    """The VM of a router."""

    callers: str

    def url(self, path: str) -> str:
        """Return the caller-facing URL of a path."""
        return f"http://{self.callers}{path}"


@dataclass
class ServerVm(Vm):
    """The VM of a backend server and its sidecar."""

    pool: str
    server_url: str
    server: ChildProcess


@dataclass
class CommandResult:
    """Exit status and output of a router command."""

    status: int
    output: str
    errors: str


@dataclass
class RunningFleet:
    """Processes of one fleet and an HTTP client to reach them."""

    workload: Workload
    directory: Path
    ports: PortAllocator = field(default_factory=PortAllocator)
    routers: list[RouterVm] = field(default_factory=list)
    servers: list[ServerVm] = field(default_factory=list)
    children: list[ChildProcess] = field(default_factory=list)
    crashes: int = 0

    def __post_init__(self) -> None:
        self.key = secrets.token_hex(16)
        self.client = httpx.AsyncClient(trust_env=False, timeout=REQUEST_TIMEOUT_S)
        self.platform_address = self.ports.allocate_address()
        self.platform_url = f"http://{self.platform_address}"

    # Start.

    def start_child(self, name: str, *arguments: str) -> ChildProcess:
        """Start a process with its own log file."""
        child = ChildProcess(name, arguments, self.directory / f"{name}.log")
        self.children.append(child)
        return child

    def start_standin(
        self, name: str, kind: str, bind: str, *options: str
    ) -> ChildProcess:
        """Start a simulated component."""
        module = "medlarridge_standins"
        return self.start_child(name, module, kind, "--bind", bind, *options)

    def start_all(self) -> None:
        """Start the platform and all VMs, spread over the data centres."""
        self.start_standin("platform", "platform", self.platform_address)
        centres = cycle(self.workload.data_centres)
        for number in range(1, ENGINES + 1):
            self.start_server(f"engine-{number}", next(centres), "engine")
        for number in range(1, SERVICE_SERVERS + 1):
            self.start_server(f"service-{number}", next(centres), "service")
        for number in range(1, ROUTERS + 1):
            self.start_router(f"router-{number}", next(centres))

    def start_server(self, name: str, data_centre: str, kind: str) -> None:
        """Start a backend server and its sidecar."""
        address, workload = self.ports.allocate_address(), self.workload
        options = []
        pool = workload.service_pool
        if kind == "engine":
            pool = workload.engine_pool
            options = ["--crash-marker", workload.crash_marker]
        server = self.start_standin(name, kind, address, *options)
        url = f"http://{address}"
        link, operator, path = self.write_settings(
            f"{name}-sidecar", data_centre, pool=pool, server=url
        )
        daemon = self.start_child(
            f"{name}-sidecar", "medlarridge_sidecar", "serve", str(path)
        )
        self.servers.append(
            ServerVm(name, data_centre, link, operator, path, daemon, pool, url, server)
        )

    def start_router(self, name: str, data_centre: str) -> None:
        """Start a router."""
        callers = self.ports.allocate_address()
        link, operator, path = self.write_settings(name, data_centre, callers=callers)
        daemon = self.start_child(name, "medlarridge_router", "serve", str(path))
        self.routers.append(
            RouterVm(name, data_centre, link, operator, path, daemon, callers)
        )

    def write_settings(
        self, name: str, data_centre: str, **extra: str
    ) -> tuple[str, str, Path]:
        """Write a settings file; return link and operator addresses and its path."""
        link, operator = self.ports.allocate_address(), self.ports.allocate_address()
        values = {
            "link": link,
            "operator": operator,
            "data_centre": data_centre,
            "region": self.workload.region,
            "platform": self.platform_url,
            "shared_key": self.key,
            **extra,
        }
        path = self.directory / f"{name}.toml"
        lines = [f'{key} = "{value}"\n' for key, value in values.items()]
        path.write_text("".join(lines))
        return link, operator, path

    async def register_vms(self) -> None:
        """Add all VMs to the platform's VM list."""
        await wait_until(self.platform_is_ready, "the platform", START_TIMEOUT_S)
        for vm in self.vms():
            response = await self.client.put(
                f"{self.platform_url}/vms/{vm.link}",
                json={"data_centre": vm.data_centre},
            )
            response.raise_for_status()

    async def platform_is_ready(self) -> bool:
        """Return whether the platform responds."""
        try:
            return (await self.client.get(f"{self.platform_url}/vms")).is_success
        except httpx.TransportError:
            return False

    async def wait_ready(self) -> None:
        """Wait until every daemon is ready and every router lists all servers."""
        await wait_until(self.all_ready, "all daemons to be ready", START_TIMEOUT_S)

    async def all_ready(self) -> bool:
        """Return whether all daemons are ready and the routers list all servers."""
        for vm in self.vms():
            try:
                ready = await self.client.get(f"http://{vm.operator}/readyz")
            except httpx.TransportError:
                return False
            if not ready.is_success:
                return False
        expected = {
            self.workload.engine_pool: ENGINES,
            self.workload.service_pool: SERVICE_SERVERS,
        }
        states = [await self.status(router) for router in self.routers]
        return all(state["pools"] == expected for state in states)

    # Use.

    def vms(self) -> list[Vm]:
        """Return all VMs."""
        return [*self.servers, *self.routers]

    async def status(self, vm: Vm) -> dict[str, object]:
        """Return the status of a daemon from its operator endpoint."""
        response = await self.client.get(
            f"http://{vm.operator}/status", headers=SharedKey(self.key).headers()
        )
        response.raise_for_status()
        return msgspec.json.decode(response.content, type=dict[str, object])

    async def command(self, *arguments: str) -> CommandResult:
        """Run a command of the router binary and wait for it to finish."""
        done = await anyio.run_process(
            python_command("medlarridge_router", *arguments),
            check=False,
            stderr=subprocess.PIPE,
            env={
                **child_environment(),
                "MEDLARRIDGE_STORE": self.platform_url,
                "MEDLARRIDGE_WHO": OPERATOR_NAME,
            },
        )
        return CommandResult(
            done.returncode, done.stdout.decode(), done.stderr.decode()
        )

    async def restart_crashed(self) -> None:
        """Restart backend servers that exit, as the platform does, and count them."""
        while True:
            for vm in self.servers:
                if vm.server.status is not None:
                    self.crashes += 1
                    vm.server.start()
            await anyio.sleep(POLL_MS / MS_PER_S)

    # End.

    async def stop(self) -> list[str]:
        """Stop all processes; return a message for each that did not exit cleanly."""
        failures = []
        routers = [vm.daemon for vm in self.routers]
        sidecars = [vm.daemon for vm in self.servers]
        rest = [child for child in self.children if child not in routers + sidecars]
        for group in (routers, sidecars, rest):
            killed = await end_all(group, STOP_TIMEOUT_S)
            failures += [f"{child.name} had to be killed" for child in killed]
            failures += [
                f"{child.name} exited with status {child.status}"
                for child in group
                if child not in killed and child.status
            ]
        return failures


@asynccontextmanager
async def running_fleet(
    workload: Workload, directory: Path
) -> AsyncIterator[RunningFleet]:
    """Yield a fleet whose processes are all stopped when the block ends."""
    fleet = RunningFleet(workload, directory)
    try:
        yield fleet
    finally:
        with anyio.CancelScope(shield=True):
            await end_all(fleet.children)
            await fleet.client.aclose()
