"""Replace the tables in the store with those in a file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from result import Err

from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.tables_admin import TablesAdmin
from medlarridge._internal.tables_file import TablesFile, Versions, load_tables_file

from .base import (
    OperatorName,
    StoreCommand,
    report_edits,
    report_failure,
    report_problems,
)


@cappa.command(name="apply")
@dataclass(kw_only=True)
class Apply(StoreCommand):
    """Replace the tables with those in a file.

    The file or the options name the versions on which the edit is based. If a table
    has changed since, nothing is written.
    """

    file: Path
    who: OperatorName
    expect_routes: Annotated[
        int | None, cappa.Arg(long=True, help="Expected version of the routes.")
    ] = None
    expect_pools: Annotated[
        int | None, cappa.Arg(long=True, help="Expected version of the pools.")
    ] = None

    async def run(self, admin: TablesAdmin) -> ExitStatus:
        """Apply the file."""
        loaded = load_tables_file(self.file)
        if isinstance(loaded, Err):
            report_problems(str(self.file), loaded.unwrap_err())
            return ExitStatus.FAILED
        applied = await admin.apply(
            self.with_expected_versions(loaded.unwrap()), self.who
        )
        if isinstance(applied, Err):
            return report_failure(applied.unwrap_err())
        return report_edits(applied.unwrap())

    def with_expected_versions(self, content: TablesFile) -> TablesFile:
        """Return the content with the versions that the options override."""
        expected = {"routes": self.expect_routes, "pools": self.expect_pools}
        overrides = {
            name: value for name, value in expected.items() if value is not None
        }
        versions: Versions = content.versions.model_copy(update=overrides)
        return content.model_copy(update={"versions": versions})
