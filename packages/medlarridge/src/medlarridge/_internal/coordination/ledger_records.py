"""Records of the at-most-once ledger as they stand in the store."""

import hashlib

import msgspec

KEY_BYTES = 16
FINGERPRINT_BYTES = 8
RESULT_RETENTION_MS = 10 * 60 * 1000
KEY_RETENTION_MS = 60 * 60 * 1000
"""How long a finished key is remembered after its result was dropped.

Longer than the longest deadline (10 min) plus the longest unnoticed pause, so that
a late copy of a call still finds its key.
"""
UNKNOWN_RETENTION_MS = 7 * 24 * 60 * 60 * 1000
"""How long a call that was sent and ended without a result is answered as unknown."""
MAX_RESULT_BODY_BYTES = 4096
MAX_RESULT_HEADER_BYTES = 1024


class CallResult(msgspec.Struct, frozen=True, array_like=True):
    """Answer of the backend server; ``kept`` is false once only the status is left."""

    status: int
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    kept: bool = True


NO_RESULT = CallResult(0, kept=False)
"""Stands for the result of a call that was sent and ended without one."""


class LedgerEntry(msgspec.Struct, frozen=True, array_like=True):
    """A call that was allowed to run; open as long as it has no result.

    ``token`` is unique for each intent, ``at_ms`` is in the shard's ledger time.
    """

    key: bytes
    fingerprint: bytes
    token: bytes
    at_ms: int
    result: CallResult | None = None

    def aged(self, time_ms: int) -> "LedgerEntry | None":
        """Return what is left of the entry at a time.

        Open entries never expire: their holder may be paused and run later.
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
        return self.finished(CallResult(self.result.status, kept=False), self.at_ms)

    def shifted(self, delta_ms: int) -> "LedgerEntry":
        """Return the entry with a later time."""
        if delta_ms == 0:
            return self
        at_ms = self.at_ms + delta_ms
        return LedgerEntry(self.key, self.fingerprint, self.token, at_ms, self.result)

    def finished(self, result: CallResult, at_ms: int) -> "LedgerEntry":
        """Return the entry with a result."""
        return LedgerEntry(self.key, self.fingerprint, self.token, at_ms, result)


class SegmentRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference of a head to a sealed segment.

    ``shift_ms`` adds to the times of the entries in the segment, ``newest_ms``
    includes it.
    """

    name: str
    size_bytes: int
    newest_ms: int
    shift_ms: int = 0

    def shifted(self, delta_ms: int) -> "SegmentRef":
        """Return the reference with later times of its entries."""
        newest_ms, shift_ms = self.newest_ms + delta_ms, self.shift_ms + delta_ms
        return SegmentRef(self.name, self.size_bytes, newest_ms, shift_ms)


class ShardHead(msgspec.Struct, frozen=True, array_like=True):
    """Current part of a shard.

    ``time_ms`` is the ledger time, which grows with each version. An entry's age is
    the difference to its own time and never more than its real age, although the
    clocks of VMs are not synchronised; see ``ledger_shard.Reckoning``.
    """

    time_ms: int = 0
    entries: list[LedgerEntry] = []
    segments: list[SegmentRef] = []


_encoder = msgspec.msgpack.Encoder()
_head_decoder = msgspec.msgpack.Decoder(ShardHead)
_segment_decoder = msgspec.msgpack.Decoder(list[LedgerEntry])


def encode_head(head: ShardHead) -> bytes:
    """Return the stored form of a head."""
    return _encoder.encode(head)


def decode_head(value: bytes) -> ShardHead:
    """Return the head from its stored form."""
    return _head_decoder.decode(value)


def encode_segment(entries: list[LedgerEntry]) -> bytes:
    """Return the stored form of a segment."""
    return _encoder.encode(entries)


def decode_segment(value: bytes) -> list[LedgerEntry]:
    """Return the entries of a segment from its stored form."""
    return _segment_decoder.decode(value)


def call_key(route: str, account: str, key: str) -> bytes:
    """Return the digest under which a call is recorded."""
    parts = _encoder.encode((route, account, key))
    return hashlib.blake2b(parts, digest_size=KEY_BYTES).digest()


def fingerprint_digest(fingerprint: str) -> bytes:
    """Return the digest of a request fingerprint."""
    data = fingerprint.encode()
    return hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES).digest()


def limited(result: CallResult) -> CallResult:
    """Return the result, without headers and body if they exceed the limits."""
    header_bytes = sum(len(name) + len(value) for name, value in result.headers)
    fits = (
        len(result.body) <= MAX_RESULT_BODY_BYTES
        and header_bytes <= MAX_RESULT_HEADER_BYTES
    )
    return result if fits else CallResult(result.status, kept=False)
