"""Messages about membership and configuration between all processes.

Datagrams carry ``GossipMessage``; the exchange carries ``ExchangeRequest`` and
``ExchangeReply``. Structs are encoded as arrays, because a datagram is limited to
400 bytes.
"""

import math
from enum import IntEnum
from typing import Annotated

import msgspec

from ..errors import CodecError
from ..identity import INSTANCE_NUMBER_BITS, Member
from .codec import decode_message

MAX_INCARNATION = 2**48
MAX_NAME_BYTES = 64
MAX_ADDRESS_BYTES = 56
MAX_UPDATES = 64
MAX_PAGE_RECORDS = 512

Number = Annotated[int, msgspec.Meta(ge=0, lt=2**INSTANCE_NUMBER_BITS)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
Generation = Annotated[int, msgspec.Meta(ge=0, lt=2**48)]
Sequence = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
Address = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_BYTES)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_BYTES)]


class Status(IntEnum):
    """Status of a member; at an equal incarnation the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Full record of a member."""

    member: Member
    incarnation: Incarnation
    status: Status = Status.ALIVE


class StatusUpdate(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Change of the status of a member whose record the receiver probably has."""

    address: Address
    number: Number
    incarnation: Incarnation
    status: Status


class DataCentreUpdate(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reports that a whole data centre became unreachable or reachable."""

    data_centre: Name
    reachable: bool


Update = MemberRecord | StatusUpdate | DataCentreUpdate


class Ping(msgspec.Struct, array_like=True, tag=1):
    """Probe of a member.

    ``number`` and ``incarnation`` are the sender's. ``target`` is the instance number
    expected at the receiver, 0 for any.
    """

    sequence: Sequence
    number: Number
    incarnation: Incarnation
    target: Number
    generation: Generation
    digest: Sequence
    updates: Annotated[list[Update], msgspec.Meta(max_length=MAX_UPDATES)] = []


class Ack(msgspec.Struct, array_like=True, tag=2):
    """Response to a probe.

    ``known`` is false if the responder does not have the prober's current record.
    """

    sequence: Sequence
    number: Number
    incarnation: Incarnation
    known: bool
    generation: Generation
    digest: Sequence
    updates: Annotated[list[Update], msgspec.Meta(max_length=MAX_UPDATES)] = []


class PingRequest(msgspec.Struct, array_like=True, tag=3):
    """Request to probe the process at ``address`` on behalf of the sender."""

    sequence: Sequence
    number: Number
    address: Address
    target: Number
    generation: Generation
    updates: Annotated[list[Update], msgspec.Meta(max_length=MAX_UPDATES)] = []


class RelayedAck(msgspec.Struct, array_like=True, tag=4):
    """Acknowledgement of a probed process, forwarded by the process that probed it."""

    sequence: Sequence
    number: Number
    address: Address
    responder_number: Number
    generation: Generation
    updates: Annotated[list[Update], msgspec.Meta(max_length=MAX_UPDATES)] = []


class Push(msgspec.Struct, array_like=True, tag=5):
    """Urgent updates that are not acknowledged."""

    number: Number
    generation: Generation
    updates: Annotated[list[Update], msgspec.Meta(max_length=MAX_UPDATES)] = []


GossipMessage = Ping | Ack | PingRequest | RelayedAck | Push


class MemberPageRequest(msgspec.Struct, array_like=True, tag=1):
    """Request member records whose address sorts after ``after``."""

    after: Address = ""


class DigestRequest(msgspec.Struct, array_like=True, tag=2):
    """Request the digests of all buckets of the member list."""


class BucketRequest(msgspec.Struct, array_like=True, tag=3):
    """Request the member records of some buckets."""

    buckets: Annotated[
        list[Annotated[int, msgspec.Meta(ge=0)]], msgspec.Meta(max_length=256)
    ]


class ConfigurationRequest(msgspec.Struct, array_like=True, tag=4):
    """Request the changes of the configuration after generation ``since``."""

    since: Generation


ExchangeRequest = (
    MemberPageRequest | DigestRequest | BucketRequest | ConfigurationRequest
)


class MemberPage(msgspec.Struct, array_like=True, tag=1):
    """Member records; ``next_after`` is empty on the last page."""

    records: Annotated[list[MemberRecord], msgspec.Meta(max_length=MAX_PAGE_RECORDS)]
    next_after: Address = ""


class DigestReply(msgspec.Struct, array_like=True, tag=2):
    """Digests of the buckets, four bytes each."""

    digests: bytes


class ConfigurationDelta(msgspec.Struct, array_like=True, tag=3):
    """Entries that changed or were removed after generation ``since``.

    ``since`` is 0 for the whole configuration. ``entries`` maps entry keys to JSON;
    ``changed`` and ``removed`` map them to generations. ``confirmed`` is false if the
    sender does not yet know whether its configuration is current.
    """

    generation: Generation
    digest: Name
    since: Generation
    entries: dict[str, bytes]
    changed: dict[str, Generation]
    removed: dict[str, Generation]
    removals_from: Generation = 0
    confirmed: bool = True


class ExchangeFailure(msgspec.Struct, array_like=True, tag=4):
    """Reports that a request could not be answered."""

    reason: str


ExchangeReply = MemberPage | DigestReply | ConfigurationDelta | ExchangeFailure

_encoder = msgspec.msgpack.Encoder()
_gossip_decoder = msgspec.msgpack.Decoder(GossipMessage)
_request_decoder = msgspec.msgpack.Decoder(ExchangeRequest)
_reply_decoder = msgspec.msgpack.Decoder(ExchangeReply)


def encode(message: msgspec.Struct) -> bytes:
    """Return the bytes of any message or update of this module."""
    return _encoder.encode(message)


def decode_gossip(data: bytes, peer: str) -> GossipMessage:
    """Decode the payload of a gossip datagram."""
    message = decode_message(_gossip_decoder, data, peer)
    for update in message.updates:
        check_update(update, peer)
    return message


def decode_request(data: bytes, peer: str) -> ExchangeRequest:
    """Decode a request of the exchange."""
    return decode_message(_request_decoder, data, peer, "decode request")


def decode_reply(data: bytes, peer: str) -> ExchangeReply:
    """Decode a reply of the exchange."""
    reply = decode_message(_reply_decoder, data, peer, "decode reply")
    if isinstance(reply, MemberPage):
        for record in reply.records:
            check_update(record, peer)
    return reply


def check_update(update: Update, peer: str) -> None:
    """Raise ``CodecError`` for a member record with values outside their limits."""
    if not isinstance(update, MemberRecord):
        return
    member, instance = update.member, update.member.instance
    names = (instance.data_centre, instance.region, member.pool)
    if (
        not 0 < instance.number < 2**INSTANCE_NUMBER_BITS
        or not 0 < len(instance.address) <= MAX_ADDRESS_BYTES
        or any(len(name) > MAX_NAME_BYTES for name in names)
        or not math.isfinite(member.weight)
        or member.weight < 0
    ):
        raise CodecError(
            "member record has values outside their limits",
            step="check member record",
            peer=peer,
        )
