"""Compute the figures in docs/CAPACITY.md from the results file and from formulas.

The header of a table determines how its rows are evaluated: given values, slopes
taken from a measured result, or figures derived by a formula. In running text, a
symbol in backquotes followed by ``= number`` is replaced by the symbol's value.
"""

import ast
import operator
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from .capacity_results import Figure, load_results

PAGE = Path("docs/CAPACITY.md")
GIVEN_HEADER = ["symbol", "given", "value"]
SLOPE_HEADER = ["symbol", "result", "scenario", "value", "unit"]
DERIVED_HEADER = ["symbol", "figure", "formula", "value", "unit"]
QUOTED_FIGURE = re.compile(r"`(\w+)` = [\d.,]*\d")
OPERATORS: dict[type, Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}


@dataclass
class CapacityPage:
    """The values of the page's symbols, filled in while the page is refreshed."""

    figures: dict[str, Figure]
    values: dict[str, float] = field(default_factory=dict)
    scenarios: dict[str, str] = field(default_factory=dict)
    """Scenario that produces each result used on the page."""

    def refresh(self, text: str) -> str:
        """Return the page text with all figures recomputed."""
        header: list[str] = []
        lines = []
        for line in text.splitlines():
            if not line.startswith("|"):
                header = []
                lines.append(line)
                continue
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            if not header:
                header = cells
            elif not set(line) <= set("|-: "):
                line = self.refresh_row(header, cells)
            lines.append(line)
        quoted = QUOTED_FIGURE.sub(self.update_quoted_figure, "\n".join(lines))
        return quoted + "\n"

    def refresh_row(self, header: list[str], cells: list[str]) -> str:
        """Record the value of a table row and return the row with it."""
        symbol = cells[0].strip("`")
        if header == GIVEN_HEADER:
            self.values[symbol] = float(cells[2].replace(",", ""))
        elif header == SLOPE_HEADER:
            figure = self.figures[cells[1]]
            self.scenarios[cells[1]] = cells[2]
            self.values[symbol] = figure.value
            cells[3:5] = [format_value(figure.value), figure.unit]
        elif header == DERIVED_HEADER:
            formula = ast.parse(cells[2].strip("`"), mode="eval")
            self.values[symbol] = self.evaluate(formula.body)
            cells[3] = format_value(self.values[symbol])
        return "| " + " | ".join(cells) + " |"

    def evaluate(self, node: ast.expr) -> float:
        """Evaluate a formula of symbols, numbers and the operators + - * /."""
        if isinstance(node, ast.BinOp):
            left, right = self.evaluate(node.left), self.evaluate(node.right)
            return OPERATORS[type(node.op)](left, right)
        if isinstance(node, ast.Name):
            return self.values[node.id]
        if isinstance(node, ast.Constant):
            return float(node.value)
        raise ValueError(f"unsupported expression in formula: {ast.unparse(node)}")

    def update_quoted_figure(self, match: re.Match[str]) -> str:
        """Return a quoted figure with its current value."""
        return f"`{match[1]}` = {format_value(self.values[match[1]])}"


def format_value(value: float) -> str:
    """Format a value with three significant digits."""
    if abs(value) >= 100:
        digits = float(f"{value:.3g}")
        return f"{digits:,.0f}"
    return f"{value:.3g}"


def refresh_page() -> None:
    """Rewrite the page with the figures of the results file."""
    if PAGE.exists():
        text = PAGE.read_text(encoding="utf-8")
        PAGE.write_text(
            CapacityPage(load_results().figures).refresh(text), encoding="utf-8"
        )
