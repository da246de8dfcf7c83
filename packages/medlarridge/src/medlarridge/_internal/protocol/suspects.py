"""Stored records and messages about requests that crash servers."""

import msgspec


class Strike(msgspec.Struct, frozen=True, array_like=True):
    """One server that died while it ran the request; times are since the epoch.

    ``alone`` means that the server ran nothing else, which proves the request guilty.
    """

    server: str
    at_ms: int
    alone: bool = False


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The one server that may run the suspect now."""

    server: str
    attempt: str
    at_ms: int
    alone: bool = False


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """What is stored about one fingerprint."""

    strikes: list[Strike] = []
    claim: Claim | None = None


class SuspectShard(msgspec.Struct, frozen=True):
    """Value of one ``suspects/{shard}`` object, by fingerprint."""

    suspects: dict[str, Suspect] = {}


class SuspectNotice(msgspec.Struct, frozen=True, array_like=True):
    """Strikes of a fingerprint at a version of its shard, as they count.

    No strikes mean that the suspect was cleared. Version 0 stands for strikes that
    could not be stored yet. ``age_ms`` is the time since the last strike.
    """

    fingerprint: str
    strikes: int
    age_ms: int
    version: int


class SuspectNotices(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Notices that are pushed to a peer."""

    notices: list[SuspectNotice]
