"""Restore earlier content of a table."""

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
    """Restore earlier content of a table as a new edit.

    Without --to, the content before the last edit is restored.
    """

    table: TableName
    version: Annotated[int, cappa.Arg(help="Current version of the table.")]
    who: OperatorName
    to: Annotated[
        int | None, cappa.Arg(long=True, help="Version whose content is restored.")
    ] = None

    async def run(self, admin: TablesAdmin) -> ExitStatus:
        """Undo the last edit or all edits after a version."""
        undone = await admin.undo(self.table, self.version, self.who, self.to)
        if isinstance(undone, Err):
            return report_failure(undone.unwrap_err())
        return report_edits(undone.unwrap())
