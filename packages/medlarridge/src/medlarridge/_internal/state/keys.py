"""Keys of the objects in the store."""

import re

VERSION_DIGITS = 16
"""Versions in keys are padded with zeros to this width, so keys sort by version."""

TABLE_PREFIX = "tables/"
ROUTES_TABLE = TABLE_PREFIX + "routes"
POOLS_TABLE = TABLE_PREFIX + "pools"
ACCEPTED_CONFIGURATION = "config/accepted"
TABLE_STATUS = "status/tables"

SUSPECTS_PREFIX = "suspects/"

SEGMENT_PATTERN = re.compile(r"[A-Za-z0-9\[][A-Za-z0-9.:_\[\]-]*")


def check_segment(segment: str) -> str:
    """Return a segment of a key; refuse one that could address another object."""
    if not SEGMENT_PATTERN.fullmatch(segment):
        raise ValueError(f"{segment!r} is not a valid segment of an object key")
    return segment


def check_number(number: int) -> int:
    """Return a number for a key, or refuse a negative one."""
    if number < 0:
        raise ValueError(f"negative number {number} is not valid in an object key")
    return number


def audit_prefix(what: str) -> str:
    """Return the prefix of the audit entries of an object."""
    segments = [check_segment(segment) for segment in what.split("/")]
    return "/".join(["audit", *segments, ""])


def audit_key(what: str, version: int) -> str:
    """Return the key of the audit entry of the change that produced a version."""
    return f"{audit_prefix(what)}{check_number(version):0{VERSION_DIGITS}d}"


def ledger_head_key(route: str, shard: int) -> str:
    """Return the key of the head of a ledger shard."""
    return f"ledger/{check_segment(route)}/{check_number(shard)}"


def suspects_key(shard: int) -> str:
    """Return the key of a shard of requests suspected of crashing servers."""
    return f"{SUSPECTS_PREFIX}{check_number(shard):02d}"


def lease_key(name: str) -> str:
    """Return the key of a lease."""
    return f"leases/{check_segment(name)}"


def orders_key(server: str) -> str:
    """Return the key of the highest order mark recorded for a server."""
    return f"orders/{check_segment(server)}"
