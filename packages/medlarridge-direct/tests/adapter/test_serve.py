import os
import signal
import subprocess
import sys
from pathlib import Path

SERVE = Path(__file__).parents[4] / "platform" / "serve.py"
SLOW_MODULE = "print('loading', flush=True)\ninput()\nraise SystemExit(3)\n"


class TestStart:
    def test_sighup_does_not_end_a_starting_process(self, tmp_path):
        """Guards against a restart if the settings change while a router starts."""
        (tmp_path / "uvloop.py").write_text(SLOW_MODULE)
        path = os.pathsep.join([str(tmp_path), *sys.path])
        process = subprocess.Popen(
            [sys.executable, str(SERVE)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={"PATH": os.environ["PATH"], "PYTHONPATH": path},
            text=True,
        )
        with process:
            assert process.stdout.readline() == "loading\n"
            process.send_signal(signal.SIGHUP)
            process.communicate("\n")
        assert process.returncode == 3
