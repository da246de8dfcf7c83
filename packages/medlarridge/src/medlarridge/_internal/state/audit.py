"""Audit trail: one immutable entry for each change."""

import zlib

import msgspec
from result import Err, Ok, Result

from ..clock import Clock
from ..errors import StoreError, StoreErrorKind
from .confirmed_put import put_confirmed
from .keys import audit_key, audit_prefix
from .store import CREATE, MAX_VALUE_BYTES, ObjectStore, StoredObject

MAX_ENTRY_BYTES = 4 * MAX_VALUE_BYTES
"""Limit of a decompressed entry, which holds the value before and after a change."""


class AuditEntry(msgspec.Struct, frozen=True):
    """A change: its author, its subject, the time, and the content before and after.

    Version 0 means that the object did not exist.
    """

    who: str
    what: str
    time_ms: int
    before_version: int
    before: bytes
    after_version: int
    after: bytes


class AuditTrail:
    """Reads and writes audit entries.

    The key of an entry contains the version that the change produced, so recording
    a change again does not add an entry. Each entry holds the version before its
    change, so the history is read by following these versions and not by listing a
    trail that grows for years.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock

    async def record(
        self,
        who: str,
        what: str,
        before: StoredObject | None,
        after: StoredObject,
    ) -> Result[AuditEntry, StoreError]:
        """Record a change of a stored object, after the change."""
        entry = AuditEntry(
            who,
            what,
            self.clock.now_ms(),
            before.version if before else CREATE,
            before.value if before else b"",
            after.version,
            after.value,
        )
        return await self.write(entry)

    async def record_event(
        self, who: str, what: str, number: int, before: bytes, after: bytes
    ) -> Result[AuditEntry, StoreError]:
        """Record a change of something that is not an object of the store.

        ``number`` takes the place of the version. It grows with each change of the
        same subject, as the mark of an order or the time does.
        """
        now_ms = self.clock.now_ms()
        return await self.write(
            AuditEntry(who, what, now_ms, CREATE, before, number, after)
        )

    async def write(self, entry: AuditEntry) -> Result[AuditEntry, StoreError]:
        """Write an entry unless it exists already."""
        key = audit_key(entry.what, entry.after_version)
        written = await put_confirmed(self.store, key, encode_entry(entry), CREATE)
        if isinstance(written, Err):
            error = written.unwrap_err()
            # A conflict means that the entry of this version exists already.
            if error.kind is not StoreErrorKind.CONFLICT:
                return Err(error)
        return Ok(entry)

    async def list(
        self, what: str, version: int, limit: int
    ) -> Result[list[AuditEntry], StoreError]:
        """Return up to ``limit`` entries that led to a version, newest first."""
        entries: list[AuditEntry] = []
        while version != CREATE and len(entries) < limit:
            found = await self.entry(what, version)
            if isinstance(found, Err):
                return found
            entry = found.unwrap()
            if entry is not None:
                entries.append(entry)
                version = entry.before_version
                continue
            # The entry is missing if the writer died right after its change.
            older = await self.version_before(what, version)
            if isinstance(older, Err):
                return older
            version = older.unwrap()
        return Ok(entries)

    async def entry(
        self, what: str, version: int
    ) -> Result[AuditEntry | None, StoreError]:
        """Return the entry of the change that produced a version, or None."""
        read = await self.store.get(audit_key(what, version))
        if isinstance(read, Err) or read.unwrap() is None:
            return read
        return decode_entry(read.unwrap())

    async def version_before(self, what: str, version: int) -> Result[int, StoreError]:
        """Return the newest recorded version below a version, 0 if there is none."""
        prefix = audit_prefix(what)
        listed = await self.store.list(prefix)
        if isinstance(listed, Err):
            return listed
        suffixes = [name.key.removeprefix(prefix) for name in listed.unwrap()]
        versions = [int(suffix) for suffix in suffixes if suffix.isdigit()]
        return Ok(max((v for v in versions if v < version), default=CREATE))


def encode_entry(entry: AuditEntry) -> bytes:
    """Encode and compress an entry, which holds two complete values."""
    return zlib.compress(msgspec.msgpack.encode(entry))


def decode_entry(stored: StoredObject) -> Result[AuditEntry, StoreError]:
    """Decode an entry."""
    try:
        data = zlib.decompressobj().decompress(stored.value, MAX_ENTRY_BYTES)
        return Ok(msgspec.msgpack.decode(data, type=AuditEntry))
    except (zlib.error, msgspec.DecodeError) as error:
        kind = StoreErrorKind.UNAVAILABLE
        return Err(StoreError(kind, "decode audit entry", stored.key, str(error)))
