"""Datagrams by which routers ask the keeper of a pool for permits."""

import msgspec

from medlarridge._internal.errors import CodecError

PREFIX = b"\xc1"
"""First byte of these datagrams; MessagePack never uses it, so that a report cannot
begin with it."""


class PermitAsk(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a permit for one of some servers, the best first.

    ``starts`` are those of the servers. ``rank`` is the urgency of the request, 0 first.
    One that ``can_go_elsewhere`` leaves some permits for others. ``cold_per_s`` has the
    rate of each server that the asker knows as cold, 0 for others, or is empty.
    """

    number: int
    pool: str
    starts: list[str]
    rank: int
    can_go_elsewhere: bool
    cold_per_s: list[float] = []


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers an ask; ``permit`` is 0 if no permit is given.

    ``choice`` is the index of its server. ``free_in_ms`` has for each server the time
    after which one may be free. A client that is refused may return after
    ``retry_after_ms``.
    """

    number: int
    permit: int
    choice: int
    free_in_ms: list[int]
    retry_after_ms: int


class PermitEnd(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Tells that the request of a permit has arrived, or that it was not sent."""

    pool: str
    permit: int
    sent: bool


PermitMessage = PermitAsk | PermitAnswer | PermitEnd

ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[PermitMessage] = msgspec.msgpack.Decoder(PermitMessage)


def is_permit_message(data: bytes) -> bool:
    """Return whether a datagram is about permits."""
    return data.startswith(PREFIX)


def encode_permit_message(message: PermitMessage) -> bytes:
    """Encode a message."""
    return PREFIX + ENCODER.encode(message)


def decode_permit_message(data: bytes) -> PermitMessage:
    """Decode a message; raise ``CodecError`` if the data is malformed."""
    try:
        return DECODER.decode(data[len(PREFIX) :])
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(str(error), step="decode permit message") from error
