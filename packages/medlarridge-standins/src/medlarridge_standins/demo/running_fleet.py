"""A fleet of real binaries and stand-ins as processes on the loopback interface."""

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

START_LIMIT_S = 40
END_LIMIT_S = 20
REQUEST_TIMEOUT_S = 30
OPERATOR_NAME = "demo-operator"


@dataclass
class Vm:
    """A VM with one of our daemons on it."""

    name: str
    data_centre: str
    link: str
    operator: str
    settings: Path
    daemon: ChildProcess


@dataclass
class RouterVm(Vm):
    """An entry VM."""

    callers: str

    def url(self, path: str) -> str:
        """Return the URL of a path for callers."""
        return f"http://{self.callers}{path}"


@dataclass
class ServerVm(Vm):
    """The VM of a backend server with its sidecar."""

    pool: str
    server_url: str
    server: ChildProcess


@dataclass
class CommandResult:
    """Output and exit status of one of our commands."""

    status: int
    output: str
    errors: str


@dataclass
class RunningFleet:
    """Processes of one fleet and the clients that talk to them."""

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
        """Start a process that logs to a file of its own."""
        child = ChildProcess(name, arguments, self.directory / f"{name}.log")
        self.children.append(child)
        return child

    def start_standin(
        self, name: str, kind: str, bind: str, *options: str
    ) -> ChildProcess:
        """Start a stand-in."""
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
        self, name: str, data_centre: str, **own: str
    ) -> tuple[str, str, Path]:
        """Write a settings file; return link and operator address and its path."""
        link, operator = self.ports.allocate_address(), self.ports.allocate_address()
        values = {
            "link": link,
            "operator": operator,
            "data_centre": data_centre,
            "region": self.workload.region,
            "platform": self.platform_url,
            "shared_key": self.key,
            **own,
        }
        path = self.directory / f"{name}.toml"
        lines = [f'{key} = "{value}"\n' for key, value in values.items()]
        path.write_text("".join(lines))
        return link, operator, path

    async def register_vms(self) -> None:
        """Put all VMs into the platform's list."""
        await wait_until(self.platform_answers, "the platform", START_LIMIT_S)
        for vm in self.vms():
            answer = await self.client.put(
                f"{self.platform_url}/vms/{vm.link}",
                json={"data_centre": vm.data_centre},
            )
            answer.raise_for_status()

    async def platform_answers(self) -> bool:
        """Return whether the platform stand-in serves."""
        try:
            return (await self.client.get(f"{self.platform_url}/vms")).is_success
        except httpx.TransportError:
            return False

    async def wait_ready(self) -> None:
        """Wait until every daemon is ready and every router sees all servers."""
        await wait_until(self.all_ready, "all daemons to be ready", START_LIMIT_S)

    async def all_ready(self) -> bool:
        """Return whether all daemons are ready and know the whole fleet."""
        for vm in self.vms():
            try:
                ready = await self.client.get(f"http://{vm.operator}/readyz")
            except httpx.TransportError:
                return False
            if not ready.is_success:
                return False
        wanted = {
            self.workload.engine_pool: ENGINES,
            self.workload.service_pool: SERVICE_SERVERS,
        }
        states = [await self.status(router) for router in self.routers]
        return all(state["pools"] == wanted for state in states)

    # Use.

    def vms(self) -> list[Vm]:
        """Return all VMs."""
        return [*self.servers, *self.routers]

    async def status(self, vm: Vm) -> dict[str, object]:
        """Return the state of a daemon from its operator endpoint."""
        answer = await self.client.get(
            f"http://{vm.operator}/status", headers=SharedKey(self.key).headers()
        )
        answer.raise_for_status()
        return msgspec.json.decode(answer.content, type=dict[str, object])

    async def command(self, *arguments: str) -> CommandResult:
        """Run a command of the router binary and wait for its end."""
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
        """Restart backend servers that died, as the platform does."""
        while True:
            for vm in self.servers:
                if vm.server.status is not None:
                    self.crashes += 1
                    vm.server.start()
            await anyio.sleep(POLL_MS / MS_PER_S)

    # End.

    async def end(self) -> list[str]:
        """End all processes; return those that failed to end in order."""
        faults = []
        routers = [vm.daemon for vm in self.routers]
        sidecars = [vm.daemon for vm in self.servers]
        rest = [child for child in self.children if child not in routers + sidecars]
        for group in (routers, sidecars, rest):
            late = await end_all(group, END_LIMIT_S)
            faults += [f"{child.name} had to be killed" for child in late]
            faults += [
                f"{child.name} ended with status {child.status}"
                for child in group
                if child not in late and child.status
            ]
        return faults


@asynccontextmanager
async def running_fleet(
    workload: Workload, directory: Path
) -> AsyncIterator[RunningFleet]:
    """Give a fleet whose processes all end with the block."""
    fleet = RunningFleet(workload, directory)
    try:
        yield fleet
    finally:
        with anyio.CancelScope(shield=True):
            await end_all(fleet.children)
            await fleet.client.aclose()
