import re
from pathlib import Path

import pytest

from medlarridge_standins import capacity as capacity_package
from medlarridge_standins import measure as measure_package
from medlarridge_standins.capacity_page import PAGE, CapacityPage
from medlarridge_standins.capacity_results import (
    RESULTS,
    Figure,
    load_results,
    merge_results,
)
from medlarridge_standins.report import Row, import_modules, median_row

ROOT = Path(__file__).parents[5]
COMMAND = re.compile(r'`make (\w+)(?: ARGS=(?:"([^"]*)"|([\w-]+)))?`')
FILE = re.compile(r"`((?:docs|packages)/[^`]+)`|\]\(([^)#]+)\)")
SMALL = """\
| symbol | given | value |
|---|---|---|
| `n` | nodes | 1,100 |

| symbol | result | scenario | value | unit |
|---|---|---|---|---|
| `s` | slope | path | 0 | us |

| symbol | figure | formula | value | unit |
|---|---|---|---|---|
| `d` | sum | `n * (s + 1) / 10` | 0 | us |

It is `d` = 0, or `s` = 9,999.5 each.
"""


@pytest.fixture(scope="module")
def page():
    """The page and its symbols, computed from the committed results."""
    text = (ROOT / PAGE).read_text(encoding="utf-8")
    state = CapacityPage(load_results(ROOT / RESULTS).figures)
    return text, state, state.refresh(text)


class TestCapacityPage:
    """Guards against figures and commands on the page that no longer hold."""

    def test_figures_equal_the_results_and_formulas(self, page):
        text, _, refreshed = page
        assert refreshed.splitlines() == text.splitlines()

    def test_each_slope_names_the_scenario_that_gives_it(self, page):
        import_modules(capacity_package)
        _, state, _ = page
        assert len(state.scenarios) > 40
        unknown = set(state.scenarios.values()) - set(
            capacity_package.capacity.scenarios
        )
        assert not unknown

    def test_commands_exist(self, page):
        import_modules(capacity_package)
        import_modules(measure_package)
        reports = {
            "capacity": capacity_package.capacity,
            "measure": measure_package.measure,
        }
        commands = COMMAND.findall(page[0])
        assert {name for name, *_ in commands} == set(reports)
        for name, several, single in commands:
            for scenario in (several or single).split():
                assert scenario in reports[name].scenarios

    def test_files_exist(self, page):
        names = [a or b for a, b in FILE.findall(page[0])]
        assert names
        for name in names:
            base = ROOT if name.startswith(("docs/", "packages/")) else ROOT / "docs"
            assert (base / name).exists(), name


class TestPage:
    """Guards against a check of the page that cannot fail."""

    def test_values_are_computed(self):
        text = CapacityPage({"slope": Figure(12.344, "us", 12, 13)}).refresh(SMALL)
        assert "| `s` | slope | path | 12.3 | us |" in text
        assert "| `d` | sum | `n * (s + 1) / 10` | 1,470 | us |" in text
        assert "`d` = 1,470, or `s` = 12.3 each" in text

    def test_refreshing_again_changes_nothing(self):
        figures = {"slope": Figure(12.344, "us", 12, 13)}
        once = CapacityPage(figures).refresh(SMALL)
        assert CapacityPage(figures).refresh(once) == once

    def test_unknown_results_and_formulas_are_refused(self):
        with pytest.raises(KeyError):
            CapacityPage({}).refresh(SMALL)
        with pytest.raises(ValueError):
            CapacityPage({"slope": Figure(1, "us", 1, 1)}).refresh(
                SMALL.replace("n * (s + 1) / 10", "__import__('os')")
            )


class TestResults:
    """Guards against results that lose figures of earlier runs."""

    def test_merge_keeps_other_figures(self, tmp_path):
        path = tmp_path / "results.json"
        merge_results([Row("a", 1.23456, "us"), Row("b", 2, "us")], path)
        merge_results([Row("b", 3, "us", spread=(2, 4), repetitions=3)], path)
        results = load_results(path)
        assert results.figures["a"] == Figure(1.235, "us", 1.235, 1.235)
        assert results.figures["b"] == Figure(3, "us", 2, 4)

    def test_median_of_repetitions(self):
        row = median_row([Row("a", value, "us") for value in (9, 1, 4)])
        assert (row.value, row.spread, row.repetitions) == (4, (1, 9), 3)
