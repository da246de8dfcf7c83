"""Keys of all objects in the store."""

import re

VERSION_DIGITS = 16
"""Width of versions in keys, so that keys sort like the versions."""

TABLE_PREFIX = "tables/"
ROUTES_TABLE = TABLE_PREFIX + "routes"
POOLS_TABLE = TABLE_PREFIX + "pools"
ACCEPTED_CONFIGURATION = "config/accepted"
TABLE_STATUS = "status/tables"

SUSPECTS_PREFIX = "suspects/"

PART = re.compile(r"[A-Za-z0-9\[][A-Za-z0-9.:_\[\]-]*")


def check_part(part: str) -> str:
    """Return a part of a key, or refuse one that could name another object."""
    if not PART.fullmatch(part):
        raise ValueError(f"{part!r} cannot be part of an object key")
    return part


def check_number(number: int) -> int:
    """Return a number for a key, or refuse a negative one."""
    if number < 0:
        raise ValueError(f"{number} cannot be part of an object key")
    return number


def audit_prefix(what: str) -> str:
    """Return the prefix of the audit entries of an object."""
    parts = [check_part(part) for part in what.split("/")]
    return "/".join(["audit", *parts, ""])


def audit_key(what: str, version: int) -> str:
    """Return the key of the audit entry of the change that made a version."""
    return f"{audit_prefix(what)}{check_number(version):0{VERSION_DIGITS}d}"


def ledger_head_key(route: str, shard: int) -> str:
    """Return the key of the head of a ledger shard."""
    return f"ledger/{check_part(route)}/{check_number(shard)}"


def suspects_key(shard: int) -> str:
    """Return the key of a shard of the requests suspected of crashing servers."""
    return f"{SUSPECTS_PREFIX}{check_number(shard):02d}"


def lease_key(duty: str) -> str:
    """Return the key of the lease of a duty."""
    return f"leases/{check_part(duty)}"


def orders_key(server: str) -> str:
    """Return the key of the highest fencing number ordered at a server."""
    return f"orders/{check_part(server)}"
