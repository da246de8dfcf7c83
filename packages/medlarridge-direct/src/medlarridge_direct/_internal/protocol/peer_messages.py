"""Datagrams that routers send to each other."""

import msgspec
from msgspec import Struct

from medlarridge._internal.errors import CodecError

from .revision import NO_REVISION, Revision


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """A server that gets no new work since a revision of the store.

    ``started_at`` distinguishes starts with the same instance. ``sequence`` is that of
    the last entry that the server wrote.
    """

    instance: str
    started_at: int
    revision: Revision
    sequence: int = 0


class HeldStrike(Struct, frozen=True):
    """A strike as it is handed to routers that may not know it."""

    fingerprint: int
    server: str
    age_ms: int


class StreamGroup(msgspec.Struct, frozen=True, array_like=True):
    """Streams that began at one software version of a pool.

    ``streams`` are pairs of a stream's key and the time in milliseconds for which a
    client may still take it up.
    """

    pool: str
    software_version: str
    streams: list[tuple[int, int]]


class KeptPermits(msgspec.Struct, frozen=True, array_like=True):
    """The sender gives out the permits of a pool.

    Its lease has a revision in the store that it wrote ``age_ms`` ago.
    """

    pool: str
    revision: Revision
    age_ms: int


class ReportedLimit(msgspec.Struct, frozen=True, array_like=True):
    """A limit that a server stated, or that it has none.

    It was stated between ``asked_age_ms`` and ``heard_age_ms`` before the report.
    """

    start: str
    per_s: float | None
    asked_age_ms: int
    heard_age_ms: int


class ReportedSlowness(msgspec.Struct, frozen=True, array_like=True):
    """How slow the sender has found a server since its last report.

    ``slowness_percent`` is relative to the pool, 100 as its other servers.
    ``observations`` tells on how many of its own it rests, and ``age_ms`` how old the
    last one is.
    """

    instance_key: int
    slowness_percent: int
    observations: int
    age_ms: int


class Report(msgspec.Struct, frozen=True, array_like=True):
    """State of one router and what it learned since its last report.

    The fields are encoded by position. ``router_id`` identifies one start of a router.
    ``in_flight`` counts attempts by instance key. ``cached_parts`` are pairs of a
    prompt part and a server that was just sent it, ``processed_parts`` pairs of a part
    and a server that has cached it for longer, ``strikes`` pairs of a request
    fingerprint and a server that went down while running it. ``list_digest`` and
    ``configuration_version`` identify the server list and the configuration of the
    router; the ages tell how long ago it read them from the store itself, -1 meaning
    never. They are not passed on: an age that routers report back to each other grows
    slower than time, by the delay of each report. ``cache_index_synced`` tells whether the router knows what servers cached
    before it started. ``unreachable`` lists servers that do not respond to this router.
    The configuration is known to be the newest up to the store's revision
    ``configuration_watched_revision``, and the list is that of the store's revision
    ``list_revision``. ``departures`` are the servers that left the list lately. The
    registry listed ``registered_routers`` when the sender itself last read it.
    ``strike_ages_ms`` has an entry for each of the ``strikes``. ``streams`` have begun
    lately, or are handed to a router that has just started. ``part_crashes`` are prompt
    parts, starts of servers that went down under them, and the ages of these crashes.
    ``sound_parts`` are parts that were answered, ``wanted_parts`` refused parts that
    requests still have, and ``tried_parts`` parts that were tried, all with the age of
    that. ``limits`` are what servers have stated, ``kept_permits`` the pools whose
    permits the sender gives out. ``rests`` are the servers that want no request of the
    sender, and the times left. ``leaving_servers`` are the starts of servers that have
    said that they leave. At the store's revision ``evacuations_revision`` the data
    centres in ``evacuated`` get no work; those in ``returned`` have been taken back
    lately. Both come with the milliseconds since then. ``slow_servers`` are what the
    sender has observed of servers. By instance key, ``waiting_tokens`` are prompt
    tokens that wait for a first event, and ``held_tokens`` those of all requests in
    flight; ``account_requests`` counts requests of the last second by account.
    ``cold_servers`` are starts that the sender itself has found cold, and for how many
    milliseconds they stay so.
    """

    router_id: int
    sequence: int
    stopping: bool
    in_flight: dict[int, int]
    cached_parts: list[tuple[str, str]]
    strikes: list[tuple[int, str]]
    list_digest: int
    list_age_ms: int
    configuration_version: int
    configuration_age_ms: int
    cache_index_synced: bool = False
    store_reachable: bool = True
    unreachable: list[str] = []
    configuration_watched_revision: Revision = NO_REVISION
    list_revision: Revision = NO_REVISION
    departures: list[Departure] = []
    processed_parts: list[tuple[str, str]] = []
    registered_routers: int = 0
    registry_age_ms: int = -1
    strike_ages_ms: list[int] = []
    streams: list[StreamGroup] = []
    part_crashes: list[tuple[str, str, int]] = []
    sound_parts: list[tuple[str, int]] = []
    wanted_parts: list[tuple[str, int]] = []
    tried_parts: list[tuple[str, int]] = []
    limits: list[ReportedLimit] = []
    kept_permits: list[KeptPermits] = []
    rests: list[tuple[str, int]] = []
    leaving_servers: list[str] = []
    evacuations_revision: Revision = NO_REVISION
    evacuations_age_ms: int = -1
    evacuated: list[tuple[str, int]] = []
    returned: list[tuple[str, int]] = []
    slow_servers: list[ReportedSlowness] = []
    waiting_tokens: dict[int, int] = {}
    held_tokens: dict[int, int] = {}
    account_requests: dict[int, int] = {}
    cold_servers: list[tuple[str, int]] = []

    def held_strikes(self) -> list[HeldStrike]:
        """Return the strikes; those without an age, of an older build, are new."""
        ages_ms = [*self.strike_ages_ms, *([0] * len(self.strikes))]
        return [
            HeldStrike(fingerprint, server, age_ms)
            for (fingerprint, server), age_ms in zip(
                self.strikes, ages_ms, strict=False
            )
        ]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Report)


def encode_report(report: Report) -> bytes:
    """Encode a report as MessagePack."""
    return ENCODER.encode(report)


def decode_report(data: bytes) -> Report:
    """Decode a report; raise ``CodecError`` if the data is malformed."""
    try:
        return DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(str(error), step="decode report") from error
