"""Datagrams between sidecars about cached prefixes and load."""

from dataclasses import dataclass

import msgspec


class PrefixQuery(msgspec.Struct, tag=13, array_like=True, frozen=True):
    """Ask a peer how long a prefix of a chat it holds."""

    chat: str


class PrefixAnswer(msgspec.Struct, tag=14, array_like=True, frozen=True):
    """Lengths of the prefixes held by the sender and by another engine it knows of."""

    chat: str
    tokens: int
    other_holder: str = ""
    other_holder_tokens: int = 0


class Served(msgspec.Struct, tag=15, array_like=True, frozen=True):
    """Tell a chat's home that the sender served the chat."""

    chat: str
    tokens: int


class HandOver(msgspec.Struct, tag=16, array_like=True, frozen=True):
    """Tell the next member of a chat's ranking that the current holder is draining."""

    chat: str
    tokens: int
    holder: str


class Release(msgspec.Struct, tag=17, array_like=True, frozen=True):
    """Tell a spill target that the chat's home now holds the prefix as well."""

    chat: str
    tokens: int


class LoadQuery(msgspec.Struct, tag=18, array_like=True, frozen=True):
    """Ask a peer how a request of the given work would affect its load."""

    number: int
    work: int


class LoadAnswer(msgspec.Struct, tag=19, array_like=True, frozen=True):
    """The sender's load including the queried work, in thousandths of its limit."""

    number: int
    load_permille: int


ReuseMessage = (
    PrefixQuery | PrefixAnswer | Served | HandOver | Release | LoadQuery | LoadAnswer
)


@dataclass(frozen=True)
class ReuseOutgoing:
    """A datagram about prefixes or load to send."""

    address: str
    message: ReuseMessage
