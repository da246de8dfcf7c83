"""What the demo prints, and the checks that it makes."""

import textwrap

WIDTH = 88
INDENT = "    "


class StepFailed(Exception):
    """A check of a step did not hold."""


class Console:
    """Prints what happened and counts the checks."""

    def __init__(self) -> None:
        self.checks = 0
        self.failures = 0
        self.step = 0

    def chapter(self, title: str) -> None:
        """Begin the part about one fleet."""
        self.step = 0
        print(f"\n{title}\n{'=' * len(title)}", flush=True)

    def heading(self, title: str) -> None:
        """Begin a step."""
        self.step += 1
        print(f"\n{self.step}. {title}", flush=True)

    def say(self, text: str) -> None:
        """Print one thing that happened."""
        print(
            textwrap.fill(text, WIDTH, initial_indent=INDENT, subsequent_indent=INDENT),
            flush=True,
        )

    def command(self, text: str) -> None:
        """Print a command as it was run."""
        print(f"{INDENT}$ {text}", flush=True)

    def output(self, text: str) -> None:
        """Print the output of a command."""
        for line in text.splitlines():
            print(f"{INDENT}  {line}", flush=True)

    def check(self, holds: bool, text: str) -> None:
        """Print a check that holds, or fail the step."""
        if not holds:
            raise StepFailed(text)
        self.checks += 1
        self.say(f"ok: {text}")

    def fail(self, text: str) -> None:
        """Print why a step went wrong."""
        self.failures += 1
        self.say(f"FAILED: {text}")
