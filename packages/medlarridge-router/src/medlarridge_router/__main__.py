"""Command line of the router."""

from dataclasses import dataclass
from typing import Union

import cappa

from medlarridge._internal.command_line import run_command

from .commands import COMMANDS


@cappa.command(name="medlarridge-router")
@dataclass
class RouterCommand:
    """Router of the medlarridge fleet: serve callers and edit the tables."""

    command: cappa.Subcommands[Union[tuple(COMMANDS.values())]]  # noqa: UP007


def main() -> None:
    """Run the command that the arguments name."""
    run_command(RouterCommand)


if __name__ == "__main__":
    main()
