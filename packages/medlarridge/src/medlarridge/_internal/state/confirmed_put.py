"""Conditional write that reads the object back if its response is lost."""

from result import Err, Ok, Result

from ..errors import StoreError, StoreErrorKind
from .store import ObjectStore

MAX_PUT_ATTEMPTS = 3


async def put_confirmed(
    store: ObjectStore, key: str, value: bytes, expected_version: int
) -> Result[int, StoreError]:
    """Write an object; if the response is lost, read the object back.

    Repeating the write is safe because each attempt expects the same version, so
    at most one takes effect. The result is ambiguous only if the reads fail too.
    """
    ambiguous_error: StoreError | None = None
    for _ in range(MAX_PUT_ATTEMPTS):
        written = await store.put(key, value, expected_version)
        if isinstance(written, Ok):
            return written
        error = written.unwrap_err()
        if error.kind is StoreErrorKind.AMBIGUOUS:
            ambiguous_error = error
        elif ambiguous_error is None:
            return written
        read = await store.get(key)
        if isinstance(read, Err):
            return Err(ambiguous_error)
        stored = read.unwrap()
        version = stored.version if stored else 0
        if stored is not None and stored.value == value and version > expected_version:
            return Ok(version)
        if version != expected_version:
            conflict = StoreErrorKind.CONFLICT
            return Err(StoreError(conflict, "put", error.peer, key))
    return Err(ambiguous_error or error)
