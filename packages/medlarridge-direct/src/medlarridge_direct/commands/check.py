"""Validate a settings file."""

from dataclasses import dataclass
from pathlib import Path

import cappa

from medlarridge._internal.command_line import ExitStatus

from .._internal.settings import load_settings


@cappa.command(name="check")
@dataclass
class Check:
    """Validate a settings file without starting anything."""

    settings: Path

    def __call__(self) -> ExitStatus:
        """Validate the file; raise ``UserError`` if it is invalid."""
        load_settings(self.settings)
        print(f"{self.settings}: valid")
        return ExitStatus.OK
