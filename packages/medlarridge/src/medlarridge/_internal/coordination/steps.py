"""Store operations that decision classes request from their caller."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Get:
    """Read an object."""

    key: str


@dataclass(frozen=True)
class Put:
    """Write an object if it has the expected version."""

    key: str
    value: bytes
    expected_version: int


@dataclass(frozen=True)
class Delete:
    """Delete an object if it has the given version."""

    key: str
    version: int


@dataclass(frozen=True)
class ListNames:
    """List the names of the objects with a prefix."""

    prefix: str


@dataclass(frozen=True)
class Wait:
    """Wait until the given time or until there is new work."""

    until_ms: int


StoreStep = Get | Put | Delete | ListNames
Step = StoreStep | Wait
