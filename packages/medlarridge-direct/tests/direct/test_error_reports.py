import json
import os
import subprocess
import sys

import pytest

PRELUDE = """
import asyncio, gc, logging, sys, threading, warnings
from medlarridge import SystemClock
from medlarridge_direct._internal.error_reports import ErrorReports
from medlarridge_direct._internal.logs import MAX_LINES_PER_S, READINESS_CHANGED, Log

log = Log(SystemClock(), "node-1")
loop = asyncio.new_event_loop()
ErrorReports(log).install(loop)

def fail():
    raise ValueError("unexpected")

async def fail_later():
    fail()

"""


def run(script):
    """Run a script whose errors are logged; return its status and lines."""
    completed = subprocess.run(
        [sys.executable, "-c", PRELUDE + script],
        env={"PATH": os.environ["PATH"], "PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.stderr == ""
    return completed.returncode, [
        json.loads(line) for line in completed.stdout.splitlines()
    ]


SOURCES = {
    "the process": "fail()",
    "a thread": "t = threading.Thread(target=fail); t.start(); t.join()",
    "a finalizer": (
        "class A:\n    def __del__(self): fail()\na = A(); del a; gc.collect()"
    ),
    "a callback": (
        "loop.call_soon(fail); loop.run_until_complete(asyncio.sleep(0)); loop.close()"
    ),
    "a task": (
        "async def main():\n"
        "    asyncio.get_running_loop().create_task(fail_later())\n"
        "    await asyncio.sleep(0)\n"
        "loop.run_until_complete(main()); gc.collect(); loop.close()"
    ),
    "a library": (
        "try:\n    fail()\n"
        "except ValueError:\n    logging.getLogger('library').exception('failed')"
    ),
}


class TestErrorReports:
    @pytest.mark.parametrize("source", SOURCES)
    def test_an_unexpected_error_is_one_line(self, source):
        """Guards against a traceback on standard error that is no log line."""
        status, (line,) = run(SOURCES[source])
        assert status == (1 if source == "the process" else 0)
        assert (line["code"], line["node"]) == ("MR6143", "node-1")
        assert (line["error"], line["detail"]) == ("ValueError", "unexpected")
        assert line["message"]
        assert line["at"][-1].endswith(" fail")

    def test_a_context_without_an_error_is_logged(self):
        """Guards against a report that fails itself."""
        _, (line,) = run(
            "loop.call_exception_handler({'message': 'odd'}); loop.close()"
        )
        assert (line["code"], line["message"]) == ("MR6143", "odd")

    @pytest.mark.parametrize(
        ("script", "library"),
        [
            ("logging.getLogger('library').warning('odd: %s', 'x')", "library"),
            ("warnings.warn('odd: x')", "py.warnings"),
            ("fail_later(); gc.collect()", "py.warnings"),
        ],
    )
    def test_warnings_are_log_lines(self, script, library):
        """Guards against text of libraries and of the interpreter among the lines."""
        _, (line,) = run(script + "; loop.close()")
        assert (line["code"], line["library"]) == ("MR6144", library)
        assert "odd: x" in line["detail"] or "never awaited" in line["detail"]

    def test_text_that_is_not_unicode_is_logged(self):
        """Guards against an error whose text cannot be encoded."""
        _, (line,) = run("raise ValueError('\\udcff')")
        assert line["detail"] == "\\udcff"

    def test_a_flood_is_bounded_and_the_last_error_is_logged(self):
        """Guards against a log that a failing callback fills."""
        _, lines = run(
            "for _ in range(3 * MAX_LINES_PER_S):\n"
            "    loop.call_exception_handler({'message': 'odd'})\n"
            "loop.close()\nfail()"
        )
        assert log_count(lines, "odd") < 3 * 400
        assert lines[-1]["message"] == "the process ends"


def log_count(lines, message):
    return sum(line.get("message") == message for line in lines)
