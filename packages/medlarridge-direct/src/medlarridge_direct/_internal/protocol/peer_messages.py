"""News that routers send each other in datagrams."""

import msgspec

from medlarridge._internal.errors import CodecError


class Report(msgspec.Struct, frozen=True, array_like=True):
    """State of one router and what it learned since its last report.

    ``router`` names one start of a process. ``in_flight`` counts attempts by the
    key of the server's instance. ``held`` names prompt parts and the servers that now hold them.
    ``strikes`` are fingerprints and the servers that went down under them. Digest and
    revision tell which server list and configuration the router knows, the ages how
    long ago the store confirmed them; an age of -1 means never. ``cache_known`` tells that the
    router knows what servers held before it started. ``unreachable`` names servers that
    do not accept its connections. ``configuration_watched_to`` is the store's revision
    up to which the configuration is known to be the newest.
    """

    router_id: int
    sequence: int
    stopping: bool
    in_flight: dict[int, int]
    cached_parts: list[tuple[str, str]]
    strikes: list[tuple[int, str]]
    list_digest: int
    list_age_ms: int
    configuration_revision: int
    configuration_age_ms: int
    cache_index_synced: bool = False
    store_reachable: bool = True
    unreachable: list[str] = []
    configuration_watched_revision: int = 0


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Report)


def encode_report(report: Report) -> bytes:
    """Return the bytes of a report."""
    return ENCODER.encode(report)


def decode_report(data: bytes) -> Report:
    """Return a report, or raise ``CodecError``."""
    try:
        return DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise CodecError(str(error), step="decode report") from error
