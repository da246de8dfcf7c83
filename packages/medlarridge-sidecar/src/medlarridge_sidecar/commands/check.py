"""Validate a settings file."""

from dataclasses import dataclass
from pathlib import Path

import cappa

from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.settings import SidecarSettings, load_settings


@cappa.command(name="check")
@dataclass
class Check:
    """Validate a settings file without starting anything."""

    settings: Path

    def __call__(self) -> ExitStatus:
        """Check the file."""
        load_settings(self.settings, SidecarSettings)
        print(f"{self.settings}: valid")
        return ExitStatus.OK
