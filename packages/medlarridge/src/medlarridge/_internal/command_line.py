"""Exit statuses and messages of the command lines."""

import sys
from enum import IntEnum


class ExitStatus(IntEnum):
    """How a command ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3


def print_error(message: str, cause: str = "", hint: str = "") -> None:
    """Write an error with its cause and a hint to standard error."""
    lines = [f"error: {message}"]
    lines += [f"cause: {cause}"] if cause else []
    lines += [f"hint: {hint}"] if hint else []
    sys.stderr.write("\n".join(lines) + "\n")
