"""What the platform's store holds of streams, for routers that all start together."""

from msgspec import Struct, field

from .peer_messages import StreamGroup


class VersionSet(Struct, frozen=True):
    """The versions of a pool at which a stream may have begun that clients may take up.

    ``leaving`` versions are part of it until they are removed. ``span_ms`` is the longest
    time that a stream of the pool may have been taken up so far. ``complete_in_era`` is
    the era of the store in which no version is missing, None if that is not known.
    ``routes`` are the keys of the routes that have led to this pool alone for that time.
    """

    versions: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    span_ms: int = 0
    complete_in_era: int | None = None
    routes: tuple[int, ...] = ()


class StoredVersionSet(Struct, frozen=True):
    """A set at its revision in the store; None for a set that is not there yet."""

    value: VersionSet = VersionSet()
    revision: int | None = None


class StoredVersionSets(Struct, frozen=True):
    """All sets by pool, and the era of the store from which they were read."""

    era: int
    by_pool: dict[str, StoredVersionSet] = field(default_factory=dict)


class StreamRecord(Struct, frozen=True):
    """Streams that one router has stored under a name, at a revision."""

    name: str
    revision: int
    groups: list[StreamGroup] = field(default_factory=list)
