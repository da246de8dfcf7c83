"""Show the state of a running sidecar."""

from dataclasses import dataclass
from pathlib import Path

import cappa

from medlarridge._internal.command_line import ExitStatus, print_status
from medlarridge._internal.settings import SidecarSettings, load_settings


@cappa.command(name="status")
@dataclass
class Status:
    """Show the state of the sidecar that runs with these settings."""

    settings: Path

    def __call__(self) -> ExitStatus:
        """Query the operator endpoint of the sidecar."""
        return print_status(load_settings(self.settings, SidecarSettings))
