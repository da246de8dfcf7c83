"""Edits of the operators' two tables in the store."""

from dataclasses import dataclass, field, replace
from enum import StrEnum
from itertools import permutations

import msgspec
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from .clock import Clock
from .errors import StoreError, StoreErrorKind
from .events import register
from .log import log_event
from .protocol.tables import Name, Pool, Problem, Route, find_reference_problems
from .state.audit import AuditEntry, AuditTrail
from .state.confirmed_put import put_confirmed
from .state.keys import POOLS_TABLE, ROUTES_TABLE, TABLE_STATUS
from .state.store import CREATE, ObjectStore, StoredObject
from .tables_file import TablesFile

MAX_CONFLICT_EDITS = 20
"""Most recent edits that are searched to explain a conflict."""

TABLE_EDITED = register(3500, "INFO", "table edited")
AUDIT_MISSING = register(3501, "WARNING", "table edited without an audit entry")
EDIT_FAILED = register(3502, "WARNING", "table edit failed")

Entries = dict[str, Route] | dict[str, Pool]


class TableName(StrEnum):
    """One of the two tables."""

    ROUTES = "routes"
    POOLS = "pools"

    @property
    def key(self) -> str:
        """Return the key of the table in the store."""
        return ROUTES_TABLE if self is TableName.ROUTES else POOLS_TABLE


ADAPTERS: dict[TableName, TypeAdapter[Entries]] = {
    TableName.ROUTES: TypeAdapter(dict[Name, Route]),
    TableName.POOLS: TypeAdapter(dict[Name, Pool]),
}


class EditErrorKind(StrEnum):
    """Why an edit failed."""

    INVALID = "invalid"
    NO_VERSION = "no-version"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    STORE = "store"


@dataclass(frozen=True)
class TableEdit:
    """An edit of one table; equal versions mean that it was not changed."""

    table: TableName
    before_version: int
    after_version: int
    changed: list[str]
    audited: bool = True


@dataclass(frozen=True)
class EditError:
    """A failed edit; ``applied`` lists the edits that were made before the failure."""

    kind: EditErrorKind
    message: str
    cause: str = ""
    hint: str = ""
    problems: list[Problem] = field(default_factory=list)
    applied: list[TableEdit] = field(default_factory=list)


@dataclass(frozen=True)
class StoredTable:
    """A table in the store; version 0 if it does not exist."""

    name: TableName
    version: int
    value: bytes

    @property
    def stored_object(self) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        if self.version == CREATE:
            return None
        return StoredObject(self.name.key, self.version, self.value)


class TablesAdmin:
    """Reads and edits the tables with conditional updates and an audit trail."""

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self.store = store
        self.trail = AuditTrail(store, clock)

    async def read(self, table: TableName) -> Result[StoredTable, EditError]:
        """Return a table from the store."""
        read = await self.store.get(table.key)
        if isinstance(read, Err):
            return Err(store_error(read.unwrap_err(), f"read the {table} table"))
        stored = read.unwrap()
        if stored is None:
            return Ok(StoredTable(table, CREATE, b"{}"))
        return Ok(StoredTable(table, stored.version, stored.value))

    async def read_all(self) -> Result[dict[TableName, StoredTable], EditError]:
        """Return both tables from the store."""
        tables = {}
        for name in TableName:
            read = await self.read(name)
            if isinstance(read, Err):
                return read
            tables[name] = read.unwrap()
        return Ok(tables)

    async def read_status(self) -> Result[bytes, EditError]:
        """Return the result of accepting the last edit, empty if there is none."""
        read = await self.store.get(TABLE_STATUS)
        if isinstance(read, Err):
            return Err(store_error(read.unwrap_err(), "read the acceptance result"))
        stored = read.unwrap()
        return Ok(stored.value if stored else b"")

    async def apply(
        self, content: TablesFile, who: str
    ) -> Result[list[TableEdit], EditError]:
        """Replace the tables that a file contains, if they have its versions."""
        read = await self.read_all()
        if isinstance(read, Err):
            return read
        current = read.unwrap()
        values = new_values(content)
        checked = check_merged(current, values)
        if isinstance(checked, Err):
            return checked
        expected = {name: getattr(content.versions, name) for name in values}
        for name, value in values.items():
            # Equal content is not a conflict, because a command may be repeated
            # after its response was lost.
            if value == current[name].value:
                expected[name] = current[name].version
            elif expected[name] is None:
                return Err(missing_version_error(name, current[name].version))
            elif expected[name] != current[name].version:
                return Err(await self.explain_conflict(current[name], expected[name]))
        return await self.write_all(current, values, who)

    async def undo(
        self, table: TableName, expected: int, who: str, to_version: int | None = None
    ) -> Result[list[TableEdit], EditError]:
        """Restore older content of a table by a new edit.

        ``expected`` is the current version, so that another operator's later edit is
        not undone by mistake. Without ``to_version``, the last edit is undone.
        """
        read = await self.read_all()
        if isinstance(read, Err):
            return read
        current = read.unwrap()
        if current[table].version != expected:
            return Err(await self.explain_conflict(current[table], expected))
        source_version = expected if to_version is None else to_version
        recorded = await self.recorded_edit(table, source_version)
        if isinstance(recorded, Err):
            return recorded
        entry = recorded.unwrap()
        older = entry.after if to_version is not None else entry.before
        values = {table: older or b"{}"}
        checked = check_merged(current, values)
        if isinstance(checked, Err):
            return checked
        return await self.write_all(current, values, who)

    async def history(
        self, table: TableName, limit: int
    ) -> Result[list[AuditEntry], EditError]:
        """Return the edits of a table, newest first."""
        read = await self.read(table)
        if isinstance(read, Err):
            return read
        return await self.history_of(read.unwrap(), limit)

    async def history_of(
        self, current: StoredTable, limit: int
    ) -> Result[list[AuditEntry], EditError]:
        """Return the edits that led to the given version of a table."""
        listed = await self.trail.list(current.name.key, current.version, limit)
        return listed.map_err(lambda error: store_error(error, "read the audit trail"))

    async def content_at(
        self, table: TableName, version: int
    ) -> Result[bytes, EditError]:
        """Return the content of a table at a recorded version."""
        recorded = await self.recorded_edit(table, version)
        return recorded.map(lambda entry: entry.after)

    async def recorded_edit(
        self, table: TableName, version: int
    ) -> Result[AuditEntry, EditError]:
        """Return the edit that produced a version of a table."""
        found = await self.trail.entry(table.key, version)
        if isinstance(found, Err):
            return Err(store_error(found.unwrap_err(), "read the audit trail"))
        entry = found.unwrap()
        if entry is not None:
            return Ok(entry)
        return Err(
            EditError(
                EditErrorKind.NOT_FOUND,
                f"no edit of the {table} table is recorded for version {version}",
                hint="choose a version that `history` shows",
            )
        )

    async def write_all(
        self,
        current: dict[TableName, StoredTable],
        values: dict[TableName, bytes],
        who: str,
    ) -> Result[list[TableEdit], EditError]:
        """Write the new tables one by one, stopping at the first failure."""
        applied: list[TableEdit] = []
        for name in write_order(current, values):
            written = await self.write(current[name], values[name], who)
            if isinstance(written, Err):
                return Err(replace(written.unwrap_err(), applied=applied))
            applied.append(written.unwrap())
        return Ok(applied)

    async def write(
        self, current: StoredTable, value: bytes, who: str
    ) -> Result[TableEdit, EditError]:
        """Write one table and its audit entry."""
        name, before = current.name, current.version
        if value == current.value and before != CREATE:
            return Ok(TableEdit(name, before, before, []))
        written = await put_confirmed(self.store, name.key, value, before)
        if isinstance(written, Err):
            return Err(await self.explain_failed_write(current, written.unwrap_err()))
        version = written.unwrap()
        recorded = await self.trail.record(
            who, name.key, current.stored_object, StoredObject(name.key, version, value)
        )
        event = TABLE_EDITED if recorded.is_ok() else AUDIT_MISSING
        log_event(event, table=name, version=version, who=who)
        changed = changed_entries(current.value, value)
        return Ok(TableEdit(name, before, version, changed, recorded.is_ok()))

    async def explain_failed_write(
        self, current: StoredTable, error: StoreError
    ) -> EditError:
        """Return the error for a table that could not be written."""
        log_event(EDIT_FAILED, table=current.name, kind=error.kind)
        if error.kind is not StoreErrorKind.CONFLICT:
            return store_error(error, f"write the {current.name} table")
        read = await self.read(current.name)
        if isinstance(read, Err):
            return conflict_error(current.name, current.version, None, [], [])
        return await self.explain_conflict(read.unwrap(), current.version)

    async def explain_conflict(self, current: StoredTable, expected: int) -> EditError:
        """Return a conflict error with the edits since the expected version."""
        listed = await self.history_of(current, MAX_CONFLICT_EDITS)
        later_edits = [e for e in listed.unwrap_or([]) if e.after_version > expected]
        base = next(
            (e.before for e in later_edits if e.before_version == expected), None
        )
        changed = [] if base is None else changed_entries(base, current.value)
        return conflict_error(
            current.name, expected, current.version, later_edits, changed
        )


def new_values(content: TablesFile) -> dict[TableName, bytes]:
    """Return the tables of a file in their stored form.

    Defaults are stored explicitly, so that a release with other defaults does not
    change the configuration in force.
    """
    values = {}
    for name in TableName:
        entries = getattr(content, name)
        if entries is not None:
            plain = ADAPTERS[name].dump_python(entries, mode="json")
            values[name] = msgspec.json.encode(plain, order="sorted")
    return values


def check_merged(
    current: dict[TableName, StoredTable], values: dict[TableName, bytes]
) -> Result[None, EditError]:
    """Validate both tables together as they would be after an edit."""
    entries: dict[TableName, Entries] = {}
    for name in TableName:
        value = values.get(name, current[name].value)
        try:
            entries[name] = ADAPTERS[name].validate_json(value)
        except ValidationError as error:
            source = "new" if name in values else "stored"
            return Err(
                EditError(
                    EditErrorKind.INVALID,
                    f"the {source} {name} table is not valid",
                    cause=str(error),
                    hint=f"apply a file that holds a valid {name} table too",
                )
            )
    problems = find_reference_problems(
        entries[TableName.ROUTES],  # type: ignore[arg-type]
        entries[TableName.POOLS],  # type: ignore[arg-type]
    )
    if not problems:
        return Ok(None)
    return Err(
        EditError(
            EditErrorKind.INVALID,
            "the tables are inconsistent",
            hint="change both tables in one file",
            problems=problems,
        )
    )


def write_order(
    current: dict[TableName, StoredTable], values: dict[TableName, bytes]
) -> list[TableName]:
    """Return an order of writes that keeps the tables consistent, if there is one.

    Pools are written first if pools are added and last if pools are removed.
    """
    orders = list(permutations(sorted(values)))
    for order in orders:
        first_write = {order[0]: values[order[0]]}
        if check_merged(current, first_write).is_ok():
            return list(order)
    return list(orders[0])


def changed_entries(before: bytes, after: bytes) -> list[str]:
    """Return the entries that were added (+), removed (-) or changed (~)."""
    old, new = decode_map(before), decode_map(after)
    changes = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            changes.append(f"+{name}")
        elif name not in new:
            changes.append(f"-{name}")
        elif old[name] != new[name]:
            changes.append(f"~{name}")
    return changes


def decode_map(value: bytes) -> dict[str, object]:
    """Return the entries of a stored table, empty if it is malformed."""
    try:
        return msgspec.json.decode(value or b"{}", type=dict[str, object])
    except msgspec.DecodeError:
        return {}


def missing_version_error(name: TableName, version: int) -> EditError:
    """Return the error of an edit without an expected version."""
    return EditError(
        EditErrorKind.NO_VERSION,
        f"the file does not name the version of the {name} table that it replaces",
        cause="without it, the edit could overwrite the edit of another operator",
        hint=f"after reading the table with `get`, set versions.{name} in the file "
        f"(now {version})",
    )


def conflict_error(
    name: TableName,
    expected: int,
    found: int | None,
    later_edits: list[AuditEntry],
    changed: list[str],
) -> EditError:
    """Return the error of an edit of a table that was changed in the meantime."""
    editors = (
        ", ".join(dict.fromkeys(entry.who for entry in later_edits)) or "someone else"
    )
    entries = f"; changed entries: {', '.join(changed)}" if changed else ""
    found_version = "a newer one" if found is None else str(found)
    return EditError(
        EditErrorKind.CONFLICT,
        f"the {name} table was changed in the meantime",
        cause=f"expected version {expected}, found {found_version},"
        f" edited by {editors}{entries}",
        hint="run `get`, repeat the edit on the new content, and apply it",
    )


def store_error(error: StoreError, step: str) -> EditError:
    """Return the error of an edit for a failed call to the store."""
    hints = {
        StoreErrorKind.AMBIGUOUS: "the edit may be in force: run `get` to check",
        StoreErrorKind.TOO_LARGE: "a table is limited to 1 MiB",
    }
    return EditError(
        EditErrorKind.STORE,
        f"could not {step}",
        cause=f"{error.kind} at {error.peer}: {error.detail}",
        hint=hints.get(error.kind, "nothing was changed by this step; try again later"),
    )
