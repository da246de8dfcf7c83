"""Identity of a process."""

from enum import StrEnum
from random import Random

import msgspec

INSTANCE_NUMBER_BITS = 48


class Role(StrEnum):
    """Kind of process."""

    ROUTER = "router"
    SIDECAR = "sidecar"


class Instance(msgspec.Struct, frozen=True, array_like=True):
    """One start of a process at an address.

    The address is reused when a VM is replaced; the random number distinguishes two
    starts at the same address.
    """

    address: str
    number: int
    data_centre: str
    region: str
    role: Role


def new_instance_number(random: Random) -> int:
    """Return a random number for this start of the process."""
    return random.getrandbits(INSTANCE_NUMBER_BITS) or 1


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Properties that a process announces about itself."""

    instance: Instance
    pool: str = ""
    weight: float = 1.0
    draining: bool = False
