"""Command line of the direct router."""

from dataclasses import dataclass
from typing import Union

import cappa

from medlarridge._internal.command_line import run_command

from .commands import COMMANDS


@cappa.command(name="medlarridge-direct")
@dataclass
class DirectCommand:
    """Direct router of the medlarridge fleet: check settings, explain decisions."""

    command: cappa.Subcommands[Union[tuple(COMMANDS.values())]]  # noqa: UP007


def main() -> None:
    """Run the command that the arguments name."""
    run_command(DirectCommand)


if __name__ == "__main__":
    main()
