"""Stored records and messages about requests that crash servers."""

import msgspec


class Strike(msgspec.Struct, frozen=True, array_like=True):
    """Crash of one server while it ran the request.

    ``at_ms`` is the time since the Unix epoch. ``alone`` means that the server ran
    nothing else, which proves that the request caused the crash.
    """

    server: str
    at_ms: int
    alone: bool = False


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Exclusive permission of one server to run the suspect."""

    server: str
    attempt: str
    at_ms: int
    alone: bool = False


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """Stored state of one fingerprint."""

    strikes: list[Strike] = []
    claim: Claim | None = None


class SuspectShard(msgspec.Struct, frozen=True):
    """Content of one ``suspects/{shard}`` object, by fingerprint."""

    suspects: dict[str, Suspect] = {}


class SuspectNotice(msgspec.Struct, frozen=True, array_like=True):
    """Effective number of strikes of a fingerprint at a version of its shard.

    Without strikes, the suspect was cleared. Version 0 means that the strikes could
    not be stored yet. ``age_ms`` is the time since the last strike.
    """

    fingerprint: str
    strikes: int
    age_ms: int
    version: int


class SuspectNotices(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Notices that are pushed to a peer."""

    notices: list[SuspectNotice]
