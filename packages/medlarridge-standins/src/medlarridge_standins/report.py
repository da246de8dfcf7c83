"""Registry of measurement scenarios and the table of their results."""

import importlib
import pkgutil
from collections.abc import Callable
from dataclasses import dataclass, replace
from types import ModuleType

Scenario = Callable[[], "list[Row]"]


@dataclass(frozen=True)
class Row:
    """One figure of a report.

    ``met`` says whether the target is met; it is None if the row has no target.
    """

    name: str
    value: float
    unit: str
    target: str = ""
    baseline: str = ""
    met: bool | None = None
    spread: tuple[float, float] | None = None
    """Lowest and highest value over the repetitions."""
    repetitions: int = 1


class Report:
    """Registry of scenarios, each of which returns rows."""

    def __init__(self, title: str) -> None:
        self.title = title
        self.scenarios: dict[str, Scenario] = {}
        self.repetitions = 1

    def scenario(self, name: str) -> Callable[[Scenario], Scenario]:
        """Return a decorator that registers a scenario."""

        def decorate(scenario: Scenario) -> Scenario:
            if name in self.scenarios:
                raise ValueError(f"scenario {name} is registered twice")
            self.scenarios[name] = scenario
            return scenario

        return decorate

    def run(self, names: list[str]) -> list[Row]:
        """Run the named scenarios, or all of them, and print their rows."""
        print(self.title)
        print(f"{'figure':58} {'value':>12} {'unit':14} {'target':>14}  baseline")
        rows = []
        for name in names or list(self.scenarios):
            for row in self.collect(name):
                rows.append(row)
                print(format_row(row), flush=True)
        return rows

    def collect(self, name: str) -> list[Row]:
        """Return the medians of a scenario's rows over the repetitions."""
        runs = [self.scenarios[name]() for _ in range(self.repetitions)]
        if self.repetitions == 1:
            return runs[0]
        return [median_row(list(repeated)) for repeated in zip(*runs, strict=True)]


def median_row(rows: list[Row]) -> Row:
    """Return the row with the median value of the repetitions, and their spread."""
    values = sorted(row.value for row in rows)
    low, high = values[0], values[-1]
    baseline = f"{rows[0].baseline} {low:.4g} to {high:.4g}".strip()
    middle = sorted(rows, key=lambda row: row.value)[(len(rows) - 1) // 2]
    return replace(middle, baseline=baseline, spread=(low, high), repetitions=len(rows))


def format_row(row: Row) -> str:
    """Format a row as a line of the table; ``!`` marks a missed target."""
    mark = {None: " ", True: " ", False: "!"}[row.met]
    return (
        f"{row.name:58} {row.value:12.4g} {row.unit:14} {row.target:>14}{mark} "
        f"{row.baseline}"
    )


def import_modules(package: ModuleType) -> None:
    """Import all modules of a package so that their scenarios are registered."""
    for module in pkgutil.iter_modules(package.__path__):
        if module.name != "__main__":
            importlib.import_module(f"{package.__name__}.{module.name}")
