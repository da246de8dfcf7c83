"""Command line of the sidecar."""

from dataclasses import dataclass
from typing import Union

import cappa

from medlarridge._internal.command_line import run_command

from .commands import COMMANDS


@cappa.command(name="medlarridge-sidecar")
@dataclass
class SidecarCommand:
    """Sidecar of the medlarridge fleet: admit and run the work of a backend server."""

    command: cappa.Subcommands[Union[tuple(COMMANDS.values())]]  # noqa: UP007


def main() -> None:
    """Run the command that the arguments name."""
    run_command(SidecarCommand)


if __name__ == "__main__":
    main()
