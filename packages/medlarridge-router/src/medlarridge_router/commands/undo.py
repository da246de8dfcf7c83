"""Bring back older content of a table."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from result import Err

from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.tables_admin import TableName, TablesAdmin

from .base import OperatorName, StoreCommand, report_edits, report_failure


@cappa.command(name="undo")
@dataclass(kw_only=True)
class Undo(StoreCommand):
    """Write older content of a table as a new edit.

    Without --to, this is the content before the last edit.
    """

    table: TableName
    version: Annotated[int, cappa.Arg(help="Version that the edit replaces.")]
    who: OperatorName
    to: Annotated[
        int | None, cappa.Arg(long=True, help="Version whose content is written.")
    ] = None

    async def run(self, admin: TablesAdmin) -> ExitStatus:
        """Undo the last edit, or all edits after a version."""
        undone = await admin.undo(self.table, self.version, self.who, self.to)
        if isinstance(undone, Err):
            return report_failure(undone.unwrap_err())
        return report_edits(undone.unwrap())
