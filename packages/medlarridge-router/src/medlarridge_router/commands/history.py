"""Print the edits of a table."""

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Annotated

import cappa
import msgspec
from result import Err

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.state.audit import AuditEntry
from medlarridge._internal.tables_admin import TableName, TablesAdmin, changed_entries

from .base import StoreCommand, report_failure


@cappa.command(name="history")
@dataclass(kw_only=True)
class History(StoreCommand):
    """Print the edits of a table with time, operator and entries, newest first."""

    table: TableName
    limit: Annotated[int, cappa.Arg(long=True, help="Number of edits.")] = 20
    show: Annotated[
        int | None, cappa.Arg(long=True, help="Print the content at this version.")
    ] = None

    async def run(self, admin: TablesAdmin) -> ExitStatus:
        """Print the edits, or the content at a version."""
        if self.show is not None:
            return await self.show_content(admin, self.show)
        listed = await admin.history(self.table, self.limit)
        if isinstance(listed, Err):
            return report_failure(listed.unwrap_err())
        for entry in listed.unwrap():
            print(format_entry(entry))
        return ExitStatus.OK

    async def show_content(self, admin: TablesAdmin, version: int) -> ExitStatus:
        """Print the content of the table at a version."""
        found = await admin.content_at(self.table, version)
        if isinstance(found, Err):
            return report_failure(found.unwrap_err())
        print(msgspec.json.format(found.unwrap()).decode())
        return ExitStatus.OK


def format_entry(entry: AuditEntry) -> str:
    """Format an edit as one line."""
    time = datetime.fromtimestamp(entry.time_ms // MS_PER_S, UTC)
    changes = ", ".join(changed_entries(entry.before, entry.after)) or "no entry"
    return (
        f"version {entry.after_version} from {entry.before_version}  "
        f"{time:%Y-%m-%d %H:%M:%S} UTC  {entry.who}  {changes}"
    )
