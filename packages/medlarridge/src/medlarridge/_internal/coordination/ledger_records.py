"""Stored records of the at-most-once ledger."""

import hashlib

import msgspec

KEY_BYTES = 16
FINGERPRINT_BYTES = 8
RESULT_RETENTION_MS = 10 * 60 * 1000
KEY_RETENTION_MS = 60 * 60 * 1000
"""Age up to which the key of a finished call is kept, also without its result.

It is longer than the longest deadline (10 min) plus the longest undetected pause, so
that a late copy of a call still finds its key.
"""
UNKNOWN_RETENTION_MS = 7 * 24 * 60 * 60 * 1000
"""Age up to which a call that was sent but has no result is kept as unknown."""
MAX_RESULT_BODY_BYTES = 4096
MAX_RESULT_HEADER_BYTES = 1024


class CallResult(msgspec.Struct, frozen=True, array_like=True):
    """Response of the backend server; ``kept`` is false if only the status is left."""

    status: int
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    kept: bool = True


NO_RESULT = CallResult(0, kept=False)
"""Marks a call that was sent but ended without a result."""


class LedgerEntry(msgspec.Struct, frozen=True, array_like=True):
    """A call that was allowed to run; it is open until it has a result.

    ``token`` is unique for each intent. ``at_ms`` is in the ledger time of the shard.
    """

    key: bytes
    fingerprint: bytes
    token: bytes
    at_ms: int
    result: CallResult | None = None

    def unexpired(self, time_ms: int) -> "LedgerEntry | None":
        """Return the entry as of a ledger time, ``None`` if it has expired.

        The result is dropped before the key. Open entries never expire, because the
        process that may run the call can be paused and run it later.
        """
        age_ms = time_ms - self.at_ms
        if self.result is None or age_ms < RESULT_RETENTION_MS:
            return self
        if self.result == NO_RESULT:
            return self if age_ms < UNKNOWN_RETENTION_MS else None
        if age_ms >= KEY_RETENTION_MS:
            return None
        if not self.result.kept:
            return self
        return self.with_result(CallResult(self.result.status, kept=False), self.at_ms)

    def shifted(self, delta_ms: int) -> "LedgerEntry":
        """Return the entry with its time moved by ``delta_ms``."""
        if delta_ms == 0:
            return self
        at_ms = self.at_ms + delta_ms
        return LedgerEntry(self.key, self.fingerprint, self.token, at_ms, self.result)

    def with_result(self, result: CallResult, at_ms: int) -> "LedgerEntry":
        """Return the entry with a result and its time."""
        return LedgerEntry(self.key, self.fingerprint, self.token, at_ms, result)


class SegmentRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference from a head to an immutable segment.

    ``shift_ms`` is added to the times of the entries in the segment. ``newest_ms``
    includes it already.
    """

    name: str
    size_bytes: int
    newest_ms: int
    shift_ms: int = 0

    def shifted(self, delta_ms: int) -> "SegmentRef":
        """Return the reference with the times of its entries moved by ``delta_ms``."""
        newest_ms, shift_ms = self.newest_ms + delta_ms, self.shift_ms + delta_ms
        return SegmentRef(self.name, self.size_bytes, newest_ms, shift_ms)


class ShardHead(msgspec.Struct, frozen=True, array_like=True):
    """Mutable part of a shard; older entries are in its segments.

    ``time_ms`` is the ledger time, which grows with each version. The age of an entry
    is the ledger time minus the time of the entry. It never exceeds the real age,
    although the clocks of VMs are not synchronised; see ``ledger_shard.VersionTimes``.
    """

    time_ms: int = 0
    entries: list[LedgerEntry] = []
    segments: list[SegmentRef] = []


_encoder = msgspec.msgpack.Encoder()
_head_decoder = msgspec.msgpack.Decoder(ShardHead)
_segment_decoder = msgspec.msgpack.Decoder(list[LedgerEntry])


def encode_head(head: ShardHead) -> bytes:
    """Encode a head for the store."""
    return _encoder.encode(head)


def decode_head(value: bytes) -> ShardHead:
    """Decode a stored head."""
    return _head_decoder.decode(value)


def encode_segment(entries: list[LedgerEntry]) -> bytes:
    """Encode the entries of a segment for the store."""
    return _encoder.encode(entries)


def decode_segment(value: bytes) -> list[LedgerEntry]:
    """Decode the entries of a stored segment."""
    return _segment_decoder.decode(value)


def call_key(route: str, account: str, key: str) -> bytes:
    """Return the digest that identifies a call in the ledger."""
    parts = _encoder.encode((route, account, key))
    return hashlib.blake2b(parts, digest_size=KEY_BYTES).digest()


def fingerprint_digest(fingerprint: str) -> bytes:
    """Return the digest of a request fingerprint."""
    data = fingerprint.encode()
    return hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES).digest()


def limit_size(result: CallResult) -> CallResult:
    """Drop headers and body of a result if either exceeds its limit."""
    header_bytes = sum(len(name) + len(value) for name, value in result.headers)
    fits = (
        len(result.body) <= MAX_RESULT_BODY_BYTES
        and header_bytes <= MAX_RESULT_HEADER_BYTES
    )
    return result if fits else CallResult(result.status, kept=False)
