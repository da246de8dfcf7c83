"""Console output and checks of the demo."""

import textwrap

WIDTH = 88
INDENT = "    "


class StepFailed(Exception):
    """A check of a step failed."""


class Console:
    """Prints the progress of the demo and counts checks and failures."""

    def __init__(self) -> None:
        self.checks = 0
        self.failures = 0
        self.step = 0

    def print_section(self, title: str) -> None:
        """Print the title of a fleet's section and restart the step numbers."""
        self.step = 0
        print(f"\n{title}\n{'=' * len(title)}", flush=True)

    def print_step(self, title: str) -> None:
        """Print the number and title of the next step."""
        self.step += 1
        print(f"\n{self.step}. {title}", flush=True)

    def print_text(self, text: str) -> None:
        """Print an indented paragraph."""
        print(
            textwrap.fill(text, WIDTH, initial_indent=INDENT, subsequent_indent=INDENT),
            flush=True,
        )

    def print_command(self, text: str) -> None:
        """Print a command line."""
        print(f"{INDENT}$ {text}", flush=True)

    def print_output(self, text: str) -> None:
        """Print the output of a command."""
        for line in text.splitlines():
            print(f"{INDENT}  {line}", flush=True)

    def check(self, holds: bool, text: str) -> None:
        """Print and count a passed check, or raise StepFailed."""
        if not holds:
            raise StepFailed(text)
        self.checks += 1
        self.print_text(f"ok: {text}")

    def fail(self, text: str) -> None:
        """Print and count the failure of a step."""
        self.failures += 1
        self.print_text(f"FAILED: {text}")
