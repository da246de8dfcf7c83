"""Results file on which docs/CAPACITY.md is based."""

import os
import platform
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from .report import Row

RESULTS = Path("docs/capacity-results.json")


class Figure(msgspec.Struct):
    """Median, minimum and maximum of a measurement."""

    value: float
    unit: str
    low: float
    high: float


@dataclass
class Results:
    """Figures by name, with the environment in which they were measured."""

    date: str = ""
    commit: str = ""
    cores: int = 0
    python: str = ""
    repetitions: int = 0
    figures: dict[str, Figure] = field(default_factory=dict)


def load_results(path: Path = RESULTS) -> Results:
    """Read the results file, or return empty results if it does not exist."""
    if not path.exists():
        return Results()
    return msgspec.json.decode(path.read_bytes(), type=Results)


def merge_results(rows: list[Row], path: Path = RESULTS) -> None:
    """Merge the figures of the rows into the results file."""
    results = load_results(path)
    results.date = time.strftime("%Y-%m-%d %H:%M", time.gmtime())
    results.commit = os.environ.get("MEDLARRIDGE_COMMIT", "")
    results.cores = os.cpu_count() or 0
    results.python = platform.python_version()
    for row in rows:
        low, high = row.spread or (row.value, row.value)
        results.figures[row.name] = Figure(
            round_significant(row.value),
            row.unit,
            round_significant(low),
            round_significant(high),
        )
        results.repetitions = max(results.repetitions, row.repetitions)
    data = msgspec.json.encode(results)
    path.write_bytes(msgspec.json.format(data, indent=1) + b"\n")


def round_significant(value: float) -> float:
    """Round a value to four significant digits."""
    return float(f"{value:.4g}")
