"""Command line of the direct router."""

from dataclasses import dataclass
from typing import Union

import cappa

from medlarridge._internal.command_line import run_command

from .commands import COMMANDS


@cappa.command(name="medlarridge-direct")
@dataclass
class DirectCommand:
    """Check settings, show the status and explain decisions of a direct router."""

    command: cappa.Subcommands[Union[tuple(COMMANDS.values())]]  # noqa: UP007


def main() -> None:
    """Run the command that is given in the arguments."""
    run_command(DirectCommand)


if __name__ == "__main__":
    main()
