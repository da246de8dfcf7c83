"""Figures of docs/CAPACITY.md, computed from the results and from formulas.

The page has three kinds of table rows, told apart by the header of their table:
given values, slopes that quote a result, and figures with a formula. In the text,
a symbol in backquotes followed by ``= number`` quotes a figure.
"""

import ast
import operator
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from .capacity_results import Figure, load_results

PAGE = Path("docs/CAPACITY.md")
GIVEN = ["symbol", "given", "value"]
SLOPE = ["symbol", "result", "scenario", "value", "unit"]
DERIVED = ["symbol", "figure", "formula", "value", "unit"]
QUOTE = re.compile(r"`(\w+)` = [\d.,]*\d")
OPERATORS: dict[type, Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}


@dataclass
class CapacityPage:
    """The text of the page and the values of its symbols."""

    figures: dict[str, Figure]
    values: dict[str, float] = field(default_factory=dict)
    scenarios: dict[str, str] = field(default_factory=dict)
    """Name of the scenario that gives each quoted result."""

    def refresh(self, text: str) -> str:
        """Return the page with all figures computed anew."""
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
        quoted = QUOTE.sub(self.quote, "\n".join(lines))
        return quoted + "\n"

    def refresh_row(self, header: list[str], cells: list[str]) -> str:
        """Return a row of a table with its value."""
        symbol = cells[0].strip("`")
        if header == GIVEN:
            self.values[symbol] = float(cells[2].replace(",", ""))
        elif header == SLOPE:
            figure = self.figures[cells[1]]
            self.scenarios[cells[1]] = cells[2]
            self.values[symbol] = figure.value
            cells[3:5] = [shown(figure.value), figure.unit]
        elif header == DERIVED:
            formula = ast.parse(cells[2].strip("`"), mode="eval")
            self.values[symbol] = self.evaluate(formula.body)
            cells[3] = shown(self.values[symbol])
        return "| " + " | ".join(cells) + " |"

    def evaluate(self, node: ast.expr) -> float:
        """Return the value of a formula of symbols, numbers and + - * /."""
        if isinstance(node, ast.BinOp):
            left, right = self.evaluate(node.left), self.evaluate(node.right)
            return OPERATORS[type(node.op)](left, right)
        if isinstance(node, ast.Name):
            return self.values[node.id]
        if isinstance(node, ast.Constant):
            return float(node.value)
        raise ValueError(f"a formula cannot contain {ast.unparse(node)}")

    def quote(self, match: re.Match[str]) -> str:
        """Return a figure in the text with its value."""
        return f"`{match[1]}` = {shown(self.values[match[1]])}"


def shown(value: float) -> str:
    """Return a value with three significant digits."""
    if abs(value) >= 100:
        digits = float(f"{value:.3g}")
        return f"{digits:,.0f}"
    return f"{value:.3g}"


def refresh_page() -> None:
    """Write the page with the figures of the results file."""
    if PAGE.exists():
        text = PAGE.read_text(encoding="utf-8")
        PAGE.write_text(
            CapacityPage(load_results().figures).refresh(text), encoding="utf-8"
        )
