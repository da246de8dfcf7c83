"""A router, sidecars with engines, and the platform as processes on loopback."""

import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from medlarridge._internal.transport.auth import SharedKey

HOST = "127.0.0.1"
PLATFORM_PORT = 18_200
ENGINE_PORT = 18_201
ROUTER_PORT = 18_210
SIDECAR_PORT = 18_230
PORTS_PER_DAEMON = 10
OPERATOR_OFFSET = 2
CALLERS_PORT = ROUTER_PORT + 3
KEY = "key of the capacity measurements"
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 10
POLL_S = 0.1
MAX_RUNNING = 1_000
NS_PER_MS = 1_000_000
# With a single engine the pool mean is its own load, so the default bound would
# reject every burst.
LOAD_BOUND = 10.0
TABLES = {
    "pools": {
        "engines": {
            "kind": "engine",
            "data_centres": ["dc-a"],
            "load_bound": LOAD_BOUND,
        }
    },
    "routes": {"chats": {"pools": ["engines"]}},
}


@dataclass
class ProcessFleet:
    """Fleet of processes on fixed loopback ports.

    Each daemon has its link port, the exchange port after it, and the operator port.
    """

    directory: Path
    token_ms: int
    batch: int
    sidecars: int = 1
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)

    def cpu_ms(self, name: str) -> float:
        """Return the CPU time of a process since its start, in milliseconds."""
        text = Path(f"/proc/{self.processes[name].pid}/schedstat").read_text()
        return int(text.split()[0]) / NS_PER_MS

    def rss_mib(self, name: str) -> float:
        """Return the resident memory of a process in MiB."""
        status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        raise RuntimeError(f"no VmRSS line in the status of process {name}")

    def start(self) -> None:
        """Start all processes and wait until the daemons are ready."""
        platform = f"{HOST}:{PLATFORM_PORT}"
        self.spawn("platform", "medlarridge_standins", "platform", "--bind", platform)
        for number in range(self.sidecars):
            self.spawn(
                f"engine{number}",
                "medlarridge_standins",
                "engine",
                "--bind",
                f"{HOST}:{ENGINE_PORT + number}",
                "--token-ms",
                str(self.token_ms),
                "--batch",
                str(self.batch),
                "--prefill-tokens-per-s",
                "0",
            )
        self.wait(f"http://{platform}/vms")
        self.store_tables_and_vms()
        settings = self.settings()
        for name, values in settings.items():
            path = self.directory / f"{name}.toml"
            path.write_text(
                "".join(f"{k} = {json.dumps(v)}\n" for k, v in values.items())
            )
            role = name.rstrip("0123456789")
            self.spawn(name, f"medlarridge_{role}", "serve", str(path))
        for values in settings.values():
            self.wait(f"http://{values['operator']}/readyz")
        self.wait_for_members()

    def settings(self) -> dict[str, dict[str, object]]:
        """Return the settings of each daemon by name."""
        router = self.common_settings(ROUTER_PORT)
        router["callers"] = f"{HOST}:{CALLERS_PORT}"
        daemons = {"router": router}
        for number in range(self.sidecars):
            sidecar = self.common_settings(SIDECAR_PORT + number * PORTS_PER_DAEMON)
            daemons[f"sidecar{number}"] = sidecar | {
                "pool": "engines",
                "server": f"http://{HOST}:{ENGINE_PORT + number}",
                "max_running": MAX_RUNNING,
            }
        return daemons

    def common_settings(self, port: int) -> dict[str, object]:
        """Return the settings common to all daemons; ``port`` is the link port."""
        return {
            "link": f"{HOST}:{port}",
            "operator": f"{HOST}:{port + OPERATOR_OFFSET}",
            "data_centre": "dc-a",
            "region": "r",
            "platform": f"http://{HOST}:{PLATFORM_PORT}",
            "shared_key": KEY,
        }

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start a process that logs to a file."""
        log = (self.directory / f"{name}.log").open("w")
        command = [sys.executable, "-m", module, *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def store_tables_and_vms(self) -> None:
        """Write the tables and the VM list to the platform."""
        platform = f"http://{HOST}:{PLATFORM_PORT}"
        with httpx.Client(trust_env=False) as client:
            for name, entries in TABLES.items():
                client.put(
                    f"{platform}/objects/tables/{name}",
                    content=json.dumps(entries),
                    headers={"if-none-match": "*"},
                ).raise_for_status()
            for values in self.settings().values():
                client.put(
                    f"{platform}/vms/{values['link']}", json={"data_centre": "dc-a"}
                ).raise_for_status()

    def wait(self, url: str) -> None:
        """Wait until a URL responds with success."""
        deadline = time.monotonic() + START_TIMEOUT_S
        with httpx.Client(trust_env=False) as client:
            while time.monotonic() < deadline:
                try:
                    if client.get(url).is_success:
                        return
                except httpx.TransportError:
                    pass
                time.sleep(POLL_S)
        raise RuntimeError(
            f"{url} did not respond with success within {START_TIMEOUT_S} s"
        )

    def wait_for_members(self) -> None:
        """Wait until the router lists all sidecars as members."""
        deadline = time.monotonic() + START_TIMEOUT_S
        url = f"http://{HOST}:{ROUTER_PORT + OPERATOR_OFFSET}/status"
        with httpx.Client(trust_env=False, headers=SharedKey(KEY).headers()) as client:
            while time.monotonic() < deadline:
                pools = client.get(url).raise_for_status().json()["pools"]
                if pools.get("engines") == self.sidecars:
                    return
                time.sleep(POLL_S)
        raise RuntimeError(f"the router did not list {self.sidecars} sidecars in time")

    def stop(self) -> None:
        """Stop the processes in reverse order of their start, the platform last."""
        for process in reversed(self.processes.values()):
            process.terminate()
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


@contextmanager
def process_fleet(
    token_ms: int, batch: int, sidecars: int = 1
) -> Iterator[ProcessFleet]:
    """Run a fleet of processes for the duration of the block."""
    with ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = ProcessFleet(Path(directory), token_ms, batch, sidecars)
        stack.callback(fleet.stop)
        fleet.start()
        yield fleet
