"""Processor time and memory of the start of a direct router, beside earlier versions.

Each argument is a source tree; without one, the tree of this file is measured. Each
tree is loaded several times in a fresh interpreter, up to the last import of its
``platform/serve.py``. The least processor time counts: other work on the host only adds
to it.
"""

import os
import sys
import sysconfig
from pathlib import Path

import msgspec

RUNS = 15
"""Starts of each tree; the trees take turns, so that the host's load meets all alike."""

KB_PER_MB = 1024
OWN_TREE = Path(__file__).parents[4]
SOURCES = ("packages/medlarridge/src", "packages/medlarridge-direct/src", "platform")


class StartCost(msgspec.Struct):
    """Least processor time of a start, and its peak memory."""

    cpu_ms: float
    peak_mb: float


def run_interpreter(script: str, paths: list[str]) -> StartCost:
    """Run a script in a fresh interpreter; raise ``SystemExit`` if it fails."""
    environment = {"PATH": os.environ["PATH"], "PYTHONPATH": os.pathsep.join(paths)}
    arguments = [sys.executable, "-S", "-c", script]
    process = os.posix_spawn(sys.executable, arguments, environment)
    _, status, usage = os.wait4(process, 0)
    if status:
        raise SystemExit(f"{script!r} with {paths} ended with status {status}")
    cpu_s = usage.ru_utime + usage.ru_stime
    return StartCost(cpu_s * 1000, usage.ru_maxrss / KB_PER_MB)


def measure(trees: list[Path]) -> dict[str, StartCost]:
    """Return the cost of the bare interpreter and of a start of each tree."""
    libraries = sysconfig.get_path("purelib")
    runs = {"interpreter alone": ("pass", [])}
    for tree in trees:
        paths = [*(str(tree / source) for source in SOURCES), libraries]
        runs[str(tree)] = ("import serve", paths)
    least: dict[str, StartCost] = {}
    for _ in range(RUNS):
        for name, (script, paths) in runs.items():
            cost = run_interpreter(script, paths)
            if name not in least or cost.cpu_ms < least[name].cpu_ms:
                least[name] = cost
    return least


def main() -> None:
    """Print a line for each tree."""
    trees = [Path(argument).resolve() for argument in sys.argv[1:]] or [OWN_TREE]
    for name, cost in measure(trees).items():
        print(f"{cost.cpu_ms:6.0f} ms {cost.peak_mb:6.1f} MB  {name}")


if __name__ == "__main__":
    main()
