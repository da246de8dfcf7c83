"""Decoding of JSON in which one value that cannot be read does not cost the others.

A page that others write to may have a value that is nested too deeply, a number out of
range, or text that is not UTF-8. The values beside it are still decoded.
"""

import re
from functools import cache
from typing import Any

import msgspec

MAX_INTEGER = 2**53 - 1
"""Largest integer that all readers of JSON agree on; all real values are far below."""

READ_ERRORS = (msgspec.DecodeError, RecursionError, OverflowError)
"""What decoding raises for a value that cannot be read."""

OPENING, CLOSING = (b"[", b"{"), (b"]", b"}")


@cache
def token_pattern() -> re.Pattern[bytes]:
    """Return the pattern of strings, brackets and commas, compiled when it is needed."""
    return re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)


def decode_json(data: bytes, depth: int) -> Any:
    """Decode JSON; a value that cannot be read becomes None.

    Such values are singled out down to ``depth`` containers, the outermost one included.
    Raise ``DecodeError`` if the outermost one is broken.
    """
    try:
        return msgspec.json.decode(data)
    except READ_ERRORS:
        if depth <= 0:
            raise msgspec.DecodeError("value cannot be read") from None
    data = data.strip()
    members = split_container(data)
    if data.startswith(b"["):
        return [decode_member(member, depth - 1) for member in members]
    return {
        decode_member(key, 0): decode_member(value, depth - 1)
        for key, _, value in map(partition_member, members)
    }


def decode_member(data: bytes, depth: int) -> Any:
    """Decode a member of a container; return None if it cannot be read."""
    try:
        return decode_json(data, depth)
    except msgspec.DecodeError:
        return None


def split_container(data: bytes) -> list[bytes]:
    """Return the members of a JSON array or object; raise ``DecodeError`` if it is broken.

    Only strings and brackets are looked at, so that any value may stand in a member.
    """
    if not data.startswith(OPENING):
        raise msgspec.DecodeError("neither an array nor an object")
    members: list[bytes] = []
    nesting, start = 0, 1
    for token in token_pattern().finditer(data):
        text = token[0]
        if text in OPENING:
            nesting += 1
        elif text in CLOSING:
            nesting -= 1
        if nesting == 0 or (nesting == 1 and text == b","):
            members.append(data[start : token.start()])
            start = token.end()
        if nesting == 0:
            break
    if nesting or start != len(data):
        raise msgspec.DecodeError("array or object is broken")
    return [] if len(members) == 1 and not members[0].strip() else members


def partition_member(member: bytes) -> tuple[bytes, bytes, bytes]:
    """Return key, colon and value of a member of an object."""
    key = token_pattern().match(member.strip())
    if key is None:
        raise msgspec.DecodeError("object with a member that has no key")
    key_text = key[0]
    rest = member.strip()[len(key_text) :]
    return key_text, *rest.partition(b":")[1:]


def bounded_int(value: Any) -> int:
    """Convert a whole or decimal number that is not negative and not out of range."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("not a number")
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError("out of range")
    return int(value)
