"""Datagrams between sidecars about prefixes and room for work."""

from dataclasses import dataclass

import msgspec


class PrefixQuery(msgspec.Struct, tag=13, array_like=True, frozen=True):
    """Ask a peer which prefix of a chat it holds."""

    chat: str


class PrefixAnswer(msgspec.Struct, tag=14, array_like=True, frozen=True):
    """The prefix held by the sender and by another engine it knows of."""

    chat: str
    tokens: int
    other_holder: str = ""
    other_holder_tokens: int = 0


class Served(msgspec.Struct, tag=15, array_like=True, frozen=True):
    """Tell a chat's home that the sender served the chat."""

    chat: str
    tokens: int


class HandOver(msgspec.Struct, tag=16, array_like=True, frozen=True):
    """Tell the next in a chat's ranking that its present holder is leaving."""

    chat: str
    tokens: int
    holder: str


class Release(msgspec.Struct, tag=17, array_like=True, frozen=True):
    """Tell a spill target that the chat's home now holds the prefix as well."""

    chat: str
    tokens: int


class LoadQuery(msgspec.Struct, tag=18, array_like=True, frozen=True):
    """Ask a peer whether it would admit a request of that much work."""

    number: int
    work: int


class LoadAnswer(msgspec.Struct, tag=19, array_like=True, frozen=True):
    """The sender's load with the work, in thousandths of its limit."""

    number: int
    share: int


ReuseMessage = (
    PrefixQuery | PrefixAnswer | Served | HandOver | Release | LoadQuery | LoadAnswer
)


@dataclass(frozen=True)
class ReuseOutgoing:
    """A datagram about a prefix to send."""

    address: str
    message: ReuseMessage
