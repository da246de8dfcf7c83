import ast
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

EXAMPLES = Path(__file__).parents[4] / "examples" / "library"
SCRIPTS = sorted(EXAMPLES.glob("*.py"))
PUBLIC = {
    "medlarridge",
    "medlarridge.coordination",
    "medlarridge.protocol",
    "medlarridge.state",
}
EXPECTED = {
    "configuration": """\
first edit: accepted
  generation 1, routes ['plug-plan']
wrong edit: rejected
  route 'plug-plan' points to pool 'asistente-tibio', which does not exist
  generation 1, routes ['plug-plan']
third edit: accepted
  generation 2, routes ['alarms', 'plug-plan']
after an old value is read again: generation 2
""",
    "fair_admission": """\
first started: ['surge-0', 'surge-1', 'surge-2']
shed because the queue is full: 50
next started: ['surge-3', 'small-0', 'surge-4']
small account waited ms: 100
expired: 44 reason: expired
""",
    "lease": """\
first holds: True fencing 1
order of the first: recorded, accepted
second holds: True fencing 2
order of the second: recorded, accepted
first believes that it owns the lease: True
late order of the first: not recorded (stale), refused (stale)
after its next read: False
""",
    "ledger": """\
invoice-1, first sidecar: run
invoice-1, second sidecar: repeat, not run again
invoice-2, first sidecar: sent, no answer came back
invoice-2, second sidecar: unknown, not run again
dispatched: ['invoice-1', 'invoice-2']
""",
    "membership": """\
known after joining: [5, 5, 5, 5, 5]
usable while one drains: ['10.0.0.1:7200', '10.0.0.3:7200', '10.0.0.4:7200', \
'10.0.0.5:7200']
known after one stopped: [4, 4, 4, 4]
""",
    # 10 retries of the full budget and a tenth of the 199 requests that follow.
    "retry_budget": """\
requests: 200 answers: {'retry': 29, 'retry-budget': 171}
never sent, not repeatable: next 10.0.0.2:7200
unanswered, repeatable: next 10.0.0.2:7200
unanswered, not repeatable: unknown may-have-run
""",
}


def run_script(script):
    """Return the output of an example in a fresh interpreter."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    command = [sys.executable, str(script)]
    completed = subprocess.run(command, capture_output=True, text=True, env=environment)
    assert completed.returncode == 0, completed.stderr
    return completed.stdout


def imported_modules(script):
    for node in ast.walk(ast.parse(script.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


class TestLibraryExamples:
    def test_every_example_is_run(self):
        """Guards against an example that is not tested."""
        assert {script.stem for script in SCRIPTS} == EXPECTED.keys() | {"placement"}

    @pytest.mark.parametrize("name", sorted(EXPECTED))
    def test_output(self, name):
        """Guards against examples that fail or whose output changes."""
        assert run_script(EXAMPLES / f"{name}.py") == EXPECTED[name]

    def test_placement_keeps_the_bound(self):
        """Guards against an example in which the load bound does not hold."""
        output = run_script(EXAMPLES / "placement.py")
        assert "placed: 200\n" in output
        assert "chats of other engines that move when one leaves: 0\n" in output
        highest, bound = re.search(
            r"over mean: ([\d.]+), bound ([\d.]+)", output
        ).groups()
        assert 1.0 <= float(highest) <= float(bound) == 1.25

    @pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.stem)
    def test_only_public_modules_are_used(self, script):
        """Guards against examples that use private names, which may change."""
        imported = {
            name for name in imported_modules(script) if name.startswith("medlarridge")
        }
        assert imported
        assert imported <= PUBLIC
