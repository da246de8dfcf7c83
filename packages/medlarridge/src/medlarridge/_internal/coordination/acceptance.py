"""Validation of the operators' tables and publication as a new configuration."""

from dataclasses import dataclass

import msgspec
from msgspec.structs import replace
from pydantic import ValidationError
from result import Err, Ok, Result

from ..errors import CodecError, StoreError, StoreErrorKind
from ..events import register
from ..log import log_event
from ..protocol.tables import Tables
from ..state.keys import (
    ACCEPTED_CONFIGURATION,
    POOLS_TABLE,
    ROUTES_TABLE,
    TABLE_PREFIX,
    TABLE_STATUS,
)
from ..state.store import CREATE, MAX_VALUE_BYTES, ObjectStore, StoredObject
from .accepted_configuration import POOLS, ROUTES, Configuration, TableStatus

MAX_RUN_ATTEMPTS = 3
MAX_REASON_CHARACTERS = 2000

CONFIGURATION_ACCEPTED = register(3100, "INFO", "tables are accepted")
TABLES_REJECTED = register(3101, "WARNING", "tables are rejected")
ACCEPTED_UNREADABLE = register(3102, "ERROR", "accepted configuration is unreadable")


@dataclass(frozen=True)
class TableObjects:
    """The stored objects that acceptance reads."""

    accepted: StoredObject | None
    routes: StoredObject | None
    pools: StoredObject | None
    status: StoredObject | None


@dataclass(frozen=True)
class AcceptanceDecision:
    """What to write; ``None`` where nothing changes.

    ``decided`` is false if an outdated version of a table was read.
    """

    configuration: Configuration | None = None
    status: TableStatus | None = None
    decided: bool = True


def decide(objects: TableObjects) -> AcceptanceDecision:
    """Decide whether the tables are accepted or rejected."""
    current = Configuration()
    if objects.accepted is not None:
        current = Configuration.from_json(
            objects.accepted.value, ACCEPTED_CONFIGURATION
        )
    routes_version, pools_version = (
        version_of(objects.routes),
        version_of(objects.pools),
    )
    if routes_version == pools_version == CREATE and objects.accepted is None:
        return AcceptanceDecision()
    if is_lagging(objects, current):
        return AcceptanceDecision(decided=False)
    status = TableStatus(routes_version, pools_version, True, current.generation)
    tables = read_tables(objects, current)
    if isinstance(tables, str):
        status.accepted, status.reason = False, tables[:MAX_REASON_CHARACTERS]
        return AcceptanceDecision(status=changed_status(objects, status))
    if objects.accepted is not None and tables.digest() == current.digest:
        return AcceptanceDecision(status=changed_status(objects, status))
    successor = current.successor(tables, routes_version, pools_version)
    if len(successor.to_json()) > MAX_VALUE_BYTES:
        status.accepted = False
        status.reason = f"both tables together exceed {MAX_VALUE_BYTES} bytes"
        return AcceptanceDecision(status=changed_status(objects, status))
    status.generation = successor.generation
    return AcceptanceDecision(successor, changed_status(objects, status))


def is_lagging(objects: TableObjects, current: Configuration) -> bool:
    """Return whether a table was read at an older version than the accepted one."""
    return any(
        stored is not None and stored.version < accepted_version
        for stored, accepted_version in (
            (objects.routes, current.routes_version),
            (objects.pools, current.pools_version),
        )
    )


def read_tables(objects: TableObjects, current: Configuration) -> Tables | str:
    """Parse and validate both tables; return the reason if they are rejected."""
    parts: dict[str, object] = {}
    for name, key, stored, accepted_version in (
        (ROUTES, ROUTES_TABLE, objects.routes, current.routes_version),
        (POOLS, POOLS_TABLE, objects.pools, current.pools_version),
    ):
        if stored is None:
            if accepted_version != CREATE:
                return f"{key} was deleted; write an empty map to remove all entries"
            parts[name] = {}
            continue
        try:
            parts[name] = msgspec.json.decode(stored.value, type=dict[str, dict])
        except (msgspec.MsgspecError, RecursionError) as error:
            return f"{key} is not a JSON map of entries: {error}"
    try:
        return Tables.model_validate(parts)
    except ValidationError as error:
        return "; ".join(
            f"{'.'.join(str(part) for part in problem['loc'])}: {problem['msg']}"
            for problem in error.errors(include_url=False, include_input=False)
        )


def changed_status(objects: TableObjects, status: TableStatus) -> TableStatus | None:
    """Return the status if it differs from the stored one, otherwise ``None``."""
    if objects.status is not None and objects.status.value == encode_status(status):
        return None
    return status


def encode_status(status: TableStatus) -> bytes:
    """Encode the object ``status/tables``."""
    return msgspec.json.encode(status)


def versions_of(objects: TableObjects) -> dict[str, int]:
    """Return the versions of the tables that exist."""
    return {
        stored.key: stored.version
        for stored in (objects.pools, objects.routes)
        if stored is not None
    }


def version_of(stored: StoredObject | None) -> int:
    """Return the version of an object, ``CREATE`` (0) if it does not exist."""
    return CREATE if stored is None else stored.version


@dataclass
class Acceptor:
    """Runs acceptance against the store.

    Any number of acceptors can run concurrently. The accepted configuration is read
    before the tables and written only if it has not changed since, so a write never
    replaces tables by older ones. Holding the lease only avoids redundant work.
    """

    store: ObjectStore
    processed_versions: dict[str, int] | None = None

    async def run_if_changed(self) -> Result[Configuration | None, StoreError]:
        """Run acceptance if a table changed; otherwise only list the tables."""
        listing = await self.store.list(TABLE_PREFIX)
        if isinstance(listing, Err):
            return listing
        versions = {name.key: name.version for name in listing.ok_value}
        if versions == self.processed_versions:
            return Ok(None)
        return await self.run()

    async def run(self) -> Result[Configuration | None, StoreError]:
        """Accept or reject the tables; return the configuration if it is new."""
        error = StoreError(
            StoreErrorKind.CONFLICT, "accept tables", ACCEPTED_CONFIGURATION
        )
        for _ in range(MAX_RUN_ATTEMPTS):
            objects = await self.read()
            if isinstance(objects, Err):
                return objects
            try:
                decision = decide(objects.ok_value)
            except CodecError as problem:
                # Overwriting the object would restart the generations, and nodes would
                # keep their configuration with a higher generation.
                log_event(ACCEPTED_UNREADABLE, reason=str(problem))
                return Err(replace(error, detail=str(problem)))
            self.processed_versions = None
            if decision.configuration is not None:
                written = await self.write(objects.ok_value, decision.configuration)
                if isinstance(written, Err):
                    return written
                if not written.ok_value:
                    continue
            if decision.status is not None:
                status = await self.write_status(objects.ok_value, decision.status)
                if isinstance(status, Err):
                    return status
            elif decision.decided:
                self.processed_versions = versions_of(objects.ok_value)
            return Ok(decision.configuration)
        return Err(error)

    async def read(self) -> Result[TableObjects, StoreError]:
        """Read the objects; the accepted configuration must be read first."""
        values = []
        for key in (ACCEPTED_CONFIGURATION, ROUTES_TABLE, POOLS_TABLE, TABLE_STATUS):
            result = await self.store.get(key)
            if isinstance(result, Err):
                return result
            values.append(result.ok_value)
        return Ok(TableObjects(*values))

    async def write(
        self, objects: TableObjects, configuration: Configuration
    ) -> Result[bool, StoreError]:
        """Write the configuration; ``False`` if the objects must be read again."""
        value = configuration.to_json()
        result = await self.store.put(
            ACCEPTED_CONFIGURATION, value, version_of(objects.accepted)
        )
        if isinstance(result, Err):
            if result.err_value.kind is StoreErrorKind.CONFLICT:
                return Ok(False)
            if result.err_value.kind is not StoreErrorKind.AMBIGUOUS:
                return result
            found = await self.store.get(ACCEPTED_CONFIGURATION)
            if isinstance(found, Err):
                return found
            if found.ok_value is None or found.ok_value.value != value:
                return Ok(False)
        log_event(CONFIGURATION_ACCEPTED, generation=configuration.generation)
        return Ok(True)

    async def write_status(
        self, objects: TableObjects, status: TableStatus
    ) -> Result[None, StoreError]:
        """Write the status.

        A conflict or an ambiguous write is ignored, because the next run reads the
        status again.
        """
        if not status.accepted:
            log_event(TABLES_REJECTED, reason=status.reason)
        result = await self.store.put(
            TABLE_STATUS, encode_status(status), version_of(objects.status)
        )
        if isinstance(result, Err) and result.err_value.kind not in (
            StoreErrorKind.CONFLICT,
            StoreErrorKind.AMBIGUOUS,
        ):
            return result
        return Ok(None)
