"""Print the version."""

from dataclasses import dataclass

import cappa

from medlarridge import __version__
from medlarridge._internal.command_line import ExitStatus


@cappa.command(name="version")
@dataclass
class Version:
    """Print the version."""

    def __call__(self) -> ExitStatus:
        """Print the version."""
        print(f"medlarridge-sidecar {__version__}")
        return ExitStatus.OK
