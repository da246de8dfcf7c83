import os
import signal
import socket
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parents[4]
SERVE = ROOT / "platform" / "serve.py"
SLOW_MODULE = "print('loading', flush=True)\ninput()\nraise SystemExit(3)\n"
NOT_NEEDED_TO_SERVE = {
    "_ssl",
    "loguru",
    "pydantic",
    "prometheus_client",
    "anyio",
    "httpx",
}


@contextmanager
def starting_process(tmp_path, *arguments):
    """Run a router that is still loading its modules; it ends at the end of the block."""
    (tmp_path / "uvloop.py").write_text(SLOW_MODULE)
    path = os.pathsep.join([str(tmp_path), *sys.path])
    process = subprocess.Popen(
        [sys.executable, str(SERVE), *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env={"PATH": os.environ["PATH"], "PYTHONPATH": path},
        text=True,
    )
    with process:
        assert process.stdout.readline() == "loading\n"
        yield process
        process.communicate("\n")


def free_endpoint():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class TestStart:
    def test_sighup_does_not_end_a_starting_process(self, tmp_path):
        """Guards against a restart if the settings change while a router starts."""
        with starting_process(tmp_path) as process:
            process.send_signal(signal.SIGHUP)
        assert process.returncode == 3

    def test_clients_are_not_refused_while_modules_are_loaded(self, tmp_path):
        """Guards against seconds without connections after a loss of all power."""
        endpoint = free_endpoint()
        host, port = endpoint.split(":")
        with starting_process(tmp_path, endpoint):
            socket.create_connection((host, int(port))).close()

    def test_a_taken_address_does_not_end_a_starting_process(self, tmp_path):
        """Guards against an error without a log line when an address is in use."""
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            with starting_process(tmp_path, f"127.0.0.1:{taken.getsockname()[1]}"):
                pass


def print_after_import(expression):
    """Return the words that an expression prints in a process that imported serve."""
    path = os.pathsep.join([str(SERVE.parent), *sys.path])
    return subprocess.run(
        [sys.executable, "-S", "-c", f"import sys, serve; print(*{expression})"],
        env={"PATH": os.environ["PATH"], "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()


class TestImports:
    def test_a_start_loads_no_library_that_serving_does_not_need(self):
        """Guards against processor time of a start, which delays the first answer."""
        assert not NOT_NEEDED_TO_SERVE & set(print_after_import("sys.modules"))

    def test_a_start_generates_no_methods(self):
        """Guards against data classes whose methods are compiled at each start."""
        found = print_after_import(
            "[name for name, module in list(sys.modules.items())"
            " if name.startswith('medlarridge') and any("
            " hasattr(value, '__dataclass_fields__')"
            " for value in vars(module).values())]"
        )
        assert found == []

    def test_the_metrics_page_can_be_rendered(self):
        """Guards against a library that needs a module which the start leaves out."""
        metrics = "__import__('medlarridge_direct._internal.metrics', fromlist=['*'])"
        found = print_after_import(f"{metrics}.Metrics().render().decode().split()")
        assert "medlarridge_requests_total" in found
