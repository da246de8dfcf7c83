"""Shared code of the commands on the tables."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa
import httpx

from medlarridge._internal.clock import WallClock
from medlarridge._internal.command_line import ExitStatus, print_error
from medlarridge._internal.protocol.tables import Problem
from medlarridge._internal.state.platform import DEFAULT_TIMEOUT_MS, PlatformStore
from medlarridge._internal.tables_admin import (
    EditError,
    EditErrorKind,
    TableEdit,
    TablesAdmin,
)

MAX_OPERATOR_NAME_CHARACTERS = 100
STATUS_OF_ERROR = {
    EditErrorKind.CONFLICT: ExitStatus.CONFLICT,
    EditErrorKind.NO_VERSION: ExitStatus.USAGE,
}


def parse_operator_name(text: str) -> str:
    """Return the name of an operator for the audit trail."""
    who = text.strip()
    if not who or len(who) > MAX_OPERATOR_NAME_CHARACTERS or not who.isprintable():
        raise ValueError(
            f"a name has 1 to {MAX_OPERATOR_NAME_CHARACTERS} printable characters"
        )
    return who


def parse_store_url(text: str) -> str:
    """Return the absolute HTTP URL of the store."""
    try:
        url = httpx.URL(text)
    except httpx.InvalidURL as error:
        raise ValueError(f"{text!r} is not a URL: {error}") from error
    if url.scheme not in ("http", "https") or not url.host:
        raise ValueError("write the store as http://ADDRESS:PORT")
    return text


# Cappa does not parse the value of an unset environment variable and passes None. The
# empty defaults are parsed, and the parsers reject them.
StoreUrl = Annotated[
    str,
    cappa.Arg(
        long="--store",
        parse=parse_store_url,
        default=cappa.Env("MEDLARRIDGE_STORE", default=""),
        help="URL of the platform's store; default $MEDLARRIDGE_STORE.",
    ),
]
OperatorName = Annotated[
    str,
    cappa.Arg(
        long="--who",
        parse=parse_operator_name,
        default=cappa.Env("MEDLARRIDGE_WHO") | cappa.Env("USER", default=""),
        help="Operator for the audit trail; default $MEDLARRIDGE_WHO or $USER.",
    ),
]
TimeoutMs = Annotated[
    int, cappa.Arg(long="--timeout-ms", help="Timeout of each call of the store.")
]


@dataclass(kw_only=True)
class StoreCommand(ABC):
    """Base class of the commands on the tables in the store."""

    store: StoreUrl
    timeout_ms: TimeoutMs = DEFAULT_TIMEOUT_MS

    def __call__(self) -> ExitStatus:
        """Run the command and return its exit status."""
        return anyio.run(self.run_with_store)

    async def run_with_store(self) -> ExitStatus:
        """Run the command with a connection to the store."""
        async with PlatformStore(self.store, self.timeout_ms) as store:
            return await self.run(TablesAdmin(store, WallClock()))

    @abstractmethod
    async def run(self, admin: TablesAdmin) -> ExitStatus:
        """Run the command."""


def report_edits(edits: list[TableEdit]) -> ExitStatus:
    """Print the edits that were written; fail if an audit entry is missing."""
    status = ExitStatus.OK
    for edit in edits:
        if edit.before_version == edit.after_version:
            print(f"{edit.table}: no change, version {edit.after_version}")
            continue
        changes = ", ".join(edit.changed) or "no entry"
        print(f"{edit.table}: version {edit.after_version} ({changes})")
        if not edit.audited:
            print_error(
                f"the edit of the {edit.table} table is in force, but its entry in the "
                "audit trail could not be written",
                hint="note who made the edit; `history` will not show it",
            )
            status = ExitStatus.FAILED
    return status


def report_failure(error: EditError) -> ExitStatus:
    """Print why an edit failed and which part of it was written."""
    report_edits(error.applied)
    print_error(error.message, error.cause, error.hint)
    report_problems("tables", error.problems)
    return STATUS_OF_ERROR.get(error.kind, ExitStatus.FAILED)


def report_problems(source: str, problems: list[Problem]) -> None:
    """Print the problems of a file with their keys and the allowed values."""
    for problem in problems:
        where = f"{source}: {problem.key}" if problem.key else source
        hint = f"allowed: {problem.allowed}" if problem.allowed else ""
        print_error(f"{where}: {problem.message}", hint=hint)
