"""A router, a sidecar, an engine and the platform as processes on loopback."""

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

HOST = "127.0.0.1"
FIRST_PORT = 18_200
KEY = "key of the capacity measurements"
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 10
POLL_S = 0.1
MAX_RUNNING = 1_000
NS_PER_MS = 1_000_000
# With one engine the mean load is its own load, so the usual bound would refuse
# every burst.
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
class Ports:
    """Ports of the processes; the exchange uses the port after each link."""

    platform: int = FIRST_PORT
    engine: int = FIRST_PORT + 1
    router_link: int = FIRST_PORT + 10
    router_operator: int = FIRST_PORT + 12
    callers: int = FIRST_PORT + 13
    sidecar_link: int = FIRST_PORT + 20
    sidecar_operator: int = FIRST_PORT + 22


@dataclass
class ProcessFleet:
    """The processes and how to reach and observe them."""

    directory: Path
    token_ms: int
    batch: int
    ports: Ports = field(default_factory=Ports)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f"http://{HOST}:{self.ports.callers}"

    def cpu_ms(self, name: str) -> float:
        """Return the CPU time of a process since its start."""
        text = Path(f"/proc/{self.processes[name].pid}/schedstat").read_text()
        return int(text.split()[0]) / NS_PER_MS

    def rss_mib(self, name: str) -> float:
        """Return the resident memory of a process."""
        status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        raise RuntimeError(f"no memory figure of {name}")

    def start(self) -> None:
        """Start all processes and wait until the daemons are ready."""
        ports = self.ports
        self.spawn(
            "platform",
            "medlarridge_standins",
            "platform",
            "--bind",
            f"{HOST}:{ports.platform}",
        )
        self.spawn(
            "engine",
            "medlarridge_standins",
            "engine",
            "--bind",
            f"{HOST}:{ports.engine}",
            "--token-ms",
            str(self.token_ms),
            "--batch",
            str(self.batch),
            "--prefill-tokens-per-s",
            "0",
        )
        self.wait(f"http://{HOST}:{ports.platform}/vms")
        self.write_state()
        for name, own in self.settings().items():
            path = self.directory / f"{name}.toml"
            path.write_text("".join(f"{k} = {json.dumps(v)}\n" for k, v in own.items()))
            self.spawn(name, f"medlarridge_{name}", "serve", str(path))
        for port in (ports.router_operator, ports.sidecar_operator):
            self.wait(f"http://{HOST}:{port}/readyz")
        self.wait_for_member()

    def settings(self) -> dict[str, dict[str, object]]:
        """Return the settings of both daemons."""
        ports = self.ports
        common = {
            "data_centre": "dc-a",
            "region": "r",
            "platform": f"http://{HOST}:{ports.platform}",
            "shared_key": KEY,
        }
        return {
            "router": common
            | {
                "link": f"{HOST}:{ports.router_link}",
                "operator": f"{HOST}:{ports.router_operator}",
                "callers": f"{HOST}:{ports.callers}",
            },
            "sidecar": common
            | {
                "link": f"{HOST}:{ports.sidecar_link}",
                "operator": f"{HOST}:{ports.sidecar_operator}",
                "pool": "engines",
                "server": f"http://{HOST}:{ports.engine}",
                "max_running": MAX_RUNNING,
            },
        }

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start a process; its log goes to a file."""
        log = (self.directory / f"{name}.log").open("w")
        command = [sys.executable, "-m", module, *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def write_state(self) -> None:
        """Store the tables and the list of VMs."""
        platform = f"http://{HOST}:{self.ports.platform}"
        with httpx.Client(trust_env=False) as client:
            for name, entries in TABLES.items():
                client.put(
                    f"{platform}/objects/tables/{name}",
                    content=json.dumps(entries),
                    headers={"if-none-match": "*"},
                ).raise_for_status()
            for port in (self.ports.router_link, self.ports.sidecar_link):
                client.put(
                    f"{platform}/vms/{HOST}:{port}", json={"data_centre": "dc-a"}
                ).raise_for_status()

    def wait(self, url: str) -> None:
        """Wait until an address answers with success."""
        limit = time.monotonic() + START_TIMEOUT_S
        with httpx.Client(trust_env=False) as client:
            while time.monotonic() < limit:
                try:
                    if client.get(url).is_success:
                        return
                except httpx.TransportError:
                    pass
                time.sleep(POLL_S)
        raise RuntimeError(f"{url} is not ready after {START_TIMEOUT_S} s")

    def wait_for_member(self) -> None:
        """Wait until the router answers a request."""
        limit = time.monotonic() + START_TIMEOUT_S
        with httpx.Client(trust_env=False) as client:
            while time.monotonic() < limit:
                if client.post(**self.request("probe", 1)).is_success:
                    return
                time.sleep(POLL_S)
        raise RuntimeError("the router answers no request")

    def request(self, chat: str, tokens: int) -> dict[str, object]:
        """Return the arguments of one streamed request."""
        body = {
            "model": "chats",
            "messages": [{"role": "user", "content": f"figures of {chat}"}],
            "max_tokens": tokens,
            "stream": True,
        }
        headers = {"X-Medlarridge-Account": "desk", "X-Medlarridge-Chat": chat}
        url = f"{self.url}/v1/chat/completions"
        return {"url": url, "json": body, "headers": headers}

    def stop(self) -> None:
        """End the processes that were started here, the platform last."""
        for process in reversed(self.processes.values()):
            process.terminate()
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


@contextmanager
def process_fleet(token_ms: int, batch: int) -> Iterator[ProcessFleet]:
    """Run a fleet of processes until the block ends."""
    with ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = ProcessFleet(Path(directory), token_ms, batch)
        stack.callback(fleet.stop)
        fleet.start()
        yield fleet
