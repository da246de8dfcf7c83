"""Validate a tables or settings file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.settings import RouterSettings, load_settings
from medlarridge._internal.tables_admin import TableName
from medlarridge._internal.tables_file import check_tables_file

from .base import report_problems


@cappa.command(name="check")
@dataclass
class Check:
    """Validate a tables file, or a settings file, without starting anything."""

    file: Path
    settings: Annotated[
        bool, cappa.Arg(long=True, help="The file holds settings of a router.")
    ] = False

    def __call__(self) -> ExitStatus:
        """Check the file and print its problems or its content."""
        if self.settings:
            load_settings(self.file, RouterSettings)
            print(f"{self.file}: valid")
            return ExitStatus.OK
        checked = check_tables_file(self.file)
        if checked.is_err():
            report_problems(str(self.file), checked.unwrap_err())
            return ExitStatus.FAILED
        content = checked.unwrap()
        for name in TableName:
            entries = getattr(content, name)
            count = "absent, stays as it is" if entries is None else len(entries)
            print(f"{name}: {count}")
        if content.routes is not None and content.pools is None:
            print("the pools of the routes are checked by `apply`")
        return ExitStatus.OK
