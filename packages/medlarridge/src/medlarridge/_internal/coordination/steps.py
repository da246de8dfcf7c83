"""Store calls that decision classes ask for."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Get:
    """Read an object."""

    key: str


@dataclass(frozen=True)
class Put:
    """Write an object if its version is as expected."""

    key: str
    value: bytes
    expected_version: int


@dataclass(frozen=True)
class Delete:
    """Delete an object if its version is as expected."""

    key: str
    version: int


@dataclass(frozen=True)
class ListNames:
    """List the objects with a prefix."""

    prefix: str


@dataclass(frozen=True)
class Wait:
    """Do nothing until a time, or until there is new work."""

    until_ms: int


StoreStep = Get | Put | Delete | ListNames
Step = StoreStep | Wait
