"""Print the tables in the store."""

from dataclasses import dataclass

import cappa
import msgspec
from result import Err

from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.tables_admin import TablesAdmin

from .base import StoreCommand, report_failure


@cappa.command(name="get")
@dataclass(kw_only=True)
class Get(StoreCommand):
    """Print both tables and their versions as a file that `apply` accepts."""

    async def run(self, admin: TablesAdmin) -> ExitStatus:
        """Print the tables."""
        result = await admin.read_all()
        if isinstance(result, Err):
            return report_failure(result.unwrap_err())
        tables = result.unwrap()
        content = {
            "versions": {name: table.version for name, table in tables.items()},
            **{name: msgspec.Raw(table.value) for name, table in tables.items()},
        }
        print(msgspec.json.format(msgspec.json.encode(content)).decode())
        return ExitStatus.OK
