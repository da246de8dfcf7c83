"""Starts a small deployment on the loopback: store, runners and routers as processes.

The routers run with the command and the settings template of the deploy file. A subnet
127.N.0.0/16 is reserved for each run, so that ports are free.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
ZONES = ("zone-anfa", "zone-agdal", "zone-gueliz")
HOST = "ficu95.example"
TENANTS = ("hule930", "sobu214", "mire377")
KEYS = {"hule930": "n2ctnfzs989anu6wsjnb", "sobu214": "anfqasnmgkcuyj8pjbvk", "mire377": "q7wbmd03ktzxv1ypl5rj"}
BOUNDS = {"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 56, "budgetWindowS": 10, "capFactor": 2}
CONFIG_APPLY_S = 2.0
STABILITY_WINDOW_S = 3.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run."""


def route(name, prefix, kind, service, timeout_ms=1000, **fields):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 125,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


class Answer:
    """What a client has seen of one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = None


class Deployment:
    """All processes of one run."""

    def __init__(self, record_path, routers=3):
        self.record_file = open(record_path, "w")
        self.began = time.monotonic()
        self.directory = Path(tempfile.mkdtemp(prefix="medlarridge-review-"))
        self.subnet, self.reservation = self.reserve_subnet()
        self.router_count = routers
        self.processes = {}
        self.readers = []
        self.events = []
        self.version = 0
        self.first_start = True
        self.restarts = True
        self.keepers = []
        self.store_address = (f"127.{self.subnet}.4.1", 8223)

    @staticmethod
    def reserve_subnet():
        for subnet in range(30, 250):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind((f"127.{subnet}.9.1", 7001))
                return subnet, sock
            except OSError:
                sock.close()
        raise CannotRun("no free loopback subnet")

    def record(self, event, **fields):
        line = {"t": round(time.monotonic() - self.began, 3), "event": event, **fields}
        self.record_file.write(json.dumps(line) + "\n")
        self.record_file.flush()

    # Processes

    async def spawn(self, name, words, on_line=None, **variables):
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.directory)}
        process = await asyncio.create_subprocess_exec(
            *words,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            cwd=ROOT,
            env={**environment, **variables},
            limit=4 * 1024 * 1024,
        )
        self.processes[name] = process
        self.readers.append(asyncio.create_task(self.read(name, process, on_line)))
        return process

    async def read(self, name, process, on_line):
        with open(self.directory / f"{name}.log", "ab") as log:
            async for line in process.stdout:
                log.write(line)
                if on_line is not None:
                    try:
                        on_line(name, json.loads(line))
                    except json.JSONDecodeError:
                        pass

    def on_runner_line(self, name, line):
        line["t"] = round(line.pop("at") - self.began, 3)
        line["process"] = name
        self.events.append(line)
        self.record_file.write(json.dumps(line) + "\n")

    async def start_store(self):
        up = asyncio.Event()
        host, port = self.store_address
        await self.spawn(
            "store",
            [sys.executable, str(STANDINS / "store.py"), host, str(port)],
            lambda name, line: up.set(),
        )
        await asyncio.wait_for(up.wait(), 20)

    async def start_runner(self, number, service, instance, crash_mark="", **variables):
        host = f"127.{self.subnet}.2.{number + 1}"
        store_host, store_port = self.store_address
        words = [sys.executable, str(STANDINS / "runner.py"), instance, service, host]
        words += ["8080", ZONES[number % 3], store_host, str(store_port), crash_mark]
        return await self.spawn(f"runner-{number}", words, self.on_runner_line, **variables)

    def keep_runner(self, number, service, name_start, restart_s, crash_mark="", **variables):
        """Start a runner, and again some seconds after it has crashed.

        ``name_start`` returns the id of each start, which are counted from 1.
        """

        async def keep():
            start = 0
            while self.restarts:
                start += 1
                process = await self.start_runner(
                    number, service, name_start(start), crash_mark, **variables
                )
                await process.wait()
                if self.restarts:
                    await asyncio.sleep(restart_s)

        self.keepers.append(asyncio.create_task(keep()))

    def router_ip(self, number):
        return f"127.{self.subnet}.1.{number + 1}"

    def settings_text(self, number):
        """Fill in the settings template as the platform does."""
        ip = self.router_ip(number)
        store_host, store_port = self.store_address
        fields = {
            "nodeName": f"front-{ZONES[number % 3]}-{number // 3 + 1}",
            "role": "router",
            "ip": ip,
            "zone": ZONES[number % 3],
            "bootstrap": self.first_start,
            "limits": {"linkMbps": 1000.0},
            "listen": {"front": f"{ip}:8227", "readinessAddress": f"{ip}:8220"},
            "internalPortRange": [7340, 7355],
            "platform": {"address": f"{store_host}:{store_port}"},
            "bounds": BOUNDS,
        }

        def look_up(path, here=None):
            if path == ".":
                return here
            value = fields
            for word in path.split("."):
                value = value[int(word)] if isinstance(value, list) else value[word]
            return value

        def fill(text, here=None):
            def value(match):
                path, _, form = match[1].partition("|")
                found = look_up(path, here)
                return json.dumps(found) if form == "json" else str(found)

            return re.sub(r"\{\{([^#/^}]+)\}\}", value, text)

        template = (ROOT / "platform/router.toml.template").read_text()
        template = re.sub(
            r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}",
            lambda match: fill(match[2], look_up(match[1])),
            template,
            flags=re.DOTALL,
        )
        return fill(template)

    async def start_router(self, number):
        path = self.directory / f"router-{number}.toml"
        path.write_text(self.settings_text(number))
        return await self.spawn(
            f"router-{number}",
            ["python3", "-S", "target/app/serve.py", f"{self.router_ip(number)}:8227"],
            MEDLARRIDGE_NODE_FILE=str(path),
            PYTHONPATH=str(ROOT / "target/deps"),
        )

    async def start_routers(self):
        for number in range(self.router_count):
            await self.start_router(number)

    async def wait_ready(self, timeout_s=30):
        end = time.monotonic() + timeout_s
        for number in range(self.router_count):
            while True:
                answer = await self.call(
                    (self.router_ip(number), 8220), b"GET", b"/v1/readyz", [], b"", 1
                )
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"router {number} is not ready")
                await asyncio.sleep(0.1)

    async def wait_listed(self, count, timeout_s=20):
        end = time.monotonic() + timeout_s
        while True:
            answer = await self.call(
                self.store_address, b"GET", b"/v1/objects/servers", [], b"", 1
            )
            if answer.status == 200 and len(json.loads(answer.body)["items"]) >= count:
                return
            if time.monotonic() > end:
                raise CannotRun("runners are not listed")
            await asyncio.sleep(0.1)

    def signal(self, name, number):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)

    def record_state(self):
        """Record how the processes ended and what the routers wrote last."""
        for name, process in self.processes.items():
            lines = []
            if name.startswith("router"):
                lines = (self.directory / f"{name}.log").read_text().splitlines()[-5:]
            self.record("state", process=name, returncode=process.returncode, log=lines)

    async def stop(self):
        self.restarts = False
        while True:
            for process in self.processes.values():
                if process.returncode is None:
                    process.kill()
                await process.wait()
            if not (keepers := [each for each in self.keepers if not each.done()]):
                break
            # A runner may just be starting again.
            await asyncio.wait(keepers, timeout=0.2)
        await asyncio.wait(self.readers, timeout=5)
        self.reservation.close()
        self.record_file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.directory, ignore_errors=True)

    # Operator

    async def write_configuration(self, routes, services, tenants):
        """Write the next version; return the time of the acknowledgement."""
        self.version += 3
        spec = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": tenants,
        }
        body = json.dumps({"metadata": {"name": "main"}, "spec": spec}).encode()
        answer = await self.call(
            self.store_address, b"PUT", b"/v1/objects/config/main", [], body, 5
        )
        if answer.status != 200:
            raise CannotRun("the store refuses a configuration")
        self.record("acknowledged", version=self.version, tenants=tenants)
        return time.monotonic()

    # Clients

    async def call(self, address, method, target, headers, body=b"", timeout_s=5.0):
        """Send one request on a new connection and read the whole answer."""
        answer = Answer()
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(*address)
                lines = [b"%b %b HTTP/1.1" % (method, target), *headers]
                if not any(each.lower().startswith(b"host:") for each in headers):
                    lines.append(b"Host: call")
                if body or method != b"GET":
                    lines.append(b"Content-Length: %d" % len(body))
                writer.write(b"\r\n".join([*lines, b"", body]))
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.rstrip("\r\n").split("\r\n")
                answer.status = int(lines[0].split(" ")[1])
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    answer.headers[name.strip().lower()] = value.strip()
                if answer.headers.get("transfer-encoding") == "chunked":
                    while size := int(await reader.readline(), 16):
                        answer.body += await reader.readexactly(size)
                        await reader.readexactly(2)
                else:
                    length = int(answer.headers.get("content-length", "0"))
                    answer.body = await reader.readexactly(length)
                answer.complete = True
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
        finally:
            if writer is not None:
                writer.close()
        return answer

    async def request(
        self, router, method, target, request_id, key=None, body=b"", deadline_ms=1000, prompt=None
    ):
        """Send a client's request to a router and record what came back."""
        headers = [
            b"Host: " + HOST.encode(),
            b"X-Medlarridge-Request-Id: " + request_id.encode(),
            b"X-Medlarridge-Deadline-Ms: %d" % deadline_ms,
        ]
        if key is not None:
            headers.append(b"Authorization: Bearer " + key.encode())
        if prompt is not None:
            headers.append(b"X-Medlarridge-Model: m")
            headers.append(b"X-Medlarridge-Token-Usage: 1172,384")
            headers.append(b"X-Medlarridge-Prompt-Prefix: " + prompt.encode())
        self.record("sent", id=request_id, router=router, target=target, key=key, prompt=prompt)
        answer = await self.call(
            (self.router_ip(router), 8227),
            method.encode(),
            target.encode(),
            headers,
            body,
            deadline_ms / 1000 + 0.5,
        )
        self.record(
            "answered",
            id=request_id,
            status=answer.status,
            signed="x-medlarridge-response-signature" in answer.headers,
            error=answer.error,
        )
        return answer

    def runs(self):
        return [event for event in self.events if event["event"] == "run"]


def run_case(case, directory, **options):
    """Run a case; exit with 1 if it returns True (the rule broke), 0 or 2."""

    async def main():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        deployment = Deployment(Path(directory) / "record.txt", **options)
        try:
            return await asyncio.wait_for(case(deployment), 110)
        except BaseException:
            deployment.record_state()
            raise
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        # The case did not run, whatever the reason.
        print(f"cannot run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
