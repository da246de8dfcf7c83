"""The file of results that docs/CAPACITY.md quotes."""

import os
import platform
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from .report import Row

RESULTS = Path("docs/capacity-results.json")


class Figure(msgspec.Struct):
    """The median of a measurement and its extremes."""

    value: float
    unit: str
    low: float
    high: float


@dataclass
class Results:
    """Figures by name, and where they were measured."""

    date: str = ""
    commit: str = ""
    cores: int = 0
    python: str = ""
    repetitions: int = 0
    figures: dict[str, Figure] = field(default_factory=dict)


def load_results(path: Path = RESULTS) -> Results:
    """Read the results, empty ones if there is no file."""
    if not path.exists():
        return Results()
    return msgspec.json.decode(path.read_bytes(), type=Results)


def merge_results(rows: list[Row], path: Path = RESULTS) -> None:
    """Replace the figures of the rows and write the file."""
    results = load_results(path)
    results.date = time.strftime("%Y-%m-%d %H:%M", time.gmtime())
    results.commit = os.environ.get("MEDLARRIDGE_COMMIT", "")
    results.cores = os.cpu_count() or 0
    results.python = platform.python_version()
    for row in rows:
        low, high = row.spread or (row.value, row.value)
        results.figures[row.name] = Figure(
            rounded(row.value), row.unit, rounded(low), rounded(high)
        )
        results.repetitions = max(results.repetitions, row.repetitions)
    data = msgspec.json.encode(results)
    path.write_bytes(msgspec.json.format(data, indent=1) + b"\n")


def rounded(value: float) -> float:
    """Return a value with four significant digits."""
    return float(f"{value:.4g}")
