"""Show the state of a running router."""

from dataclasses import dataclass
from pathlib import Path

import cappa

from medlarridge._internal.command_line import ExitStatus, print_status
from medlarridge._internal.settings import RouterSettings, load_settings


@cappa.command(name="status")
@dataclass
class Status:
    """Show the state of the router that runs with these settings."""

    settings: Path

    def __call__(self) -> ExitStatus:
        """Query the operator endpoint of the router."""
        return print_status(load_settings(self.settings, RouterSettings))
