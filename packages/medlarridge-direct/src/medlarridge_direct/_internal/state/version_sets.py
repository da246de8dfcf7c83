"""Which versions of a pool the store must name before streams begin at them.

A router that starts infers the version of an unknown stream from the stored set, so no
version may be missing there. It is added before new streams begin at its servers, and
removed when no stream that began there can be taken up any more.
"""

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..coordination.stream_origins import RESUME_MARGIN_MS
from ..protocol.configuration import Configuration, Place
from ..protocol.stored_streams import (
    StoredVersionSet,
    StoredVersionSets,
    VersionSet,
)
from .route_pools import RoutePools
from .server_table import ServerTable

STORE_WAIT_MS = 2_000
"""Time for which servers get no new streams while their version is not stored and others
can serve. Then serving goes first: the store may take no writes for long."""

LEAVE_MARGIN_MS = 10_000
"""Time after which no router begins a stream at a version that its servers left: a
router that is cut off uses an old list until the servers end."""

REMOVAL_DELAY_MS = 10_000
"""Time between the two steps of a removal. Reads that find the version stored may be
seconds old; it then returns before it is removed."""


def resumable_spans_ms(configuration: Configuration | None) -> dict[str, int]:
    """Return the longest time that a stream may be taken up, by pool that has some."""
    spans_ms: dict[str, int] = {}
    for route in () if configuration is None else configuration.routes:
        if route.resumable:
            span_ms = route.timeout_ms + RESUME_MARGIN_MS
            for share in route.pools:
                spans_ms[share.pool] = max(spans_ms.get(share.pool, 0), span_ms)
    return spans_ms


class Basis(Struct, frozen=True):
    """What beliefs about the store rest on: lists without a gap, and its era."""

    since_ms: int
    era: int


class VersionSets(Struct):
    """The stored sets, as far as this router knows them.

    ``stored`` are the sets of its last read or write, None before the first one, and
    ``seen`` the same with those of reads that may be old.
    ``confirmed`` are listed versions that are stored, ``unconfirmed_since_ms`` tells
    since when the others are listed, and ``leaving_since_ms`` since when this router
    knows that a version is being removed. ``first_basis`` is set while this router knows
    all versions since the whole system started for the first time, and ``began_empty``
    tells that it had a configuration while the store had no set yet. ``spans_ms`` are
    those of the configuration ``spans_of``.
    """

    clock: Clock
    servers: ServerTable
    routes: RoutePools
    stored: dict[str, StoredVersionSet] | None = None
    seen: dict[str, VersionSet] = field(default_factory=dict)
    confirmed: set[tuple[str, str]] = field(default_factory=set)
    unconfirmed_since_ms: dict[tuple[str, str], int] = field(default_factory=dict)
    leaving_since_ms: dict[tuple[str, str], int] = field(default_factory=dict)
    basis: Basis | None = None
    spans_ms: dict[str, int] = field(default_factory=dict)
    spans_of: Configuration | None = None
    first_start: bool = False
    first_basis: Basis | None = None
    began_empty: bool = False

    def refresh(self, configuration: Configuration | None) -> None:
        """Drop beliefs that the newest list no longer supports."""
        if configuration is not self.spans_of:
            self.spans_ms = resumable_spans_ms(configuration)
            self.spans_of = configuration
            self.routes.refresh(configuration)
        versions = self.servers.versions
        if versions.since_ms is None:
            return
        basis = Basis(versions.since_ms, self.servers.revision.era)
        if basis != self.basis:
            if self.basis is None and self.first_start:
                self.first_basis = basis
            self.basis = basis
            self.stored = None
            self.seen.clear()
            self.routes.stored.clear()
            self.confirmed.clear()
            self.unconfirmed_since_ms.clear()
            self.leaving_since_ms.clear()
        listed = {
            (pool, version)
            for pool in self.spans_ms
            for version in versions.listed.get(pool, ())
        }
        self.confirmed &= listed
        now_ms = self.clock.now_ms()
        self.unconfirmed_since_ms = {
            each: self.unconfirmed_since_ms.get(each, now_ms)
            for each in listed - self.confirmed
        }

    def unconfirmed_ms(self) -> int | None:
        """Return for how long a listed version is not known to be stored, or None."""
        if not self.unconfirmed_since_ms:
            return None
        return self.clock.now_ms() - min(self.unconfirmed_since_ms.values())

    def needs_read(self) -> bool:
        """Return whether a listed version may be stored, which only a read tells."""
        return self.stored is None or any(
            pool in self.stored and version in self.stored[pool].value.versions
            for pool, version in self.unconfirmed_since_ms
        )

    def held_back(self, pool: str) -> set[str]:
        """Return the versions at which no new stream should begin if others serve."""
        listed = self.servers.versions.listed.get(pool, set())
        if len(listed) < 2 or all((pool, each) in self.confirmed for each in listed):
            return set()
        confirmed = {each for each in listed if (pool, each) in self.confirmed}
        if not confirmed:
            return set()
        now_ms = self.clock.now_ms()
        return {
            each
            for each in listed - confirmed
            if now_ms - self.unconfirmed_since_ms.setdefault((pool, each), now_ms)
            < STORE_WAIT_MS
        }

    def apply_read(
        self, sets: StoredVersionSets, basis: Basis, read_ms: int, stale: bool
    ) -> None:
        """Apply what a read with this basis returned.

        A stale read shows what was stored, which is enough to confirm it.
        """
        if basis != self.basis or sets.era != basis.era:
            return
        for pool, stored in sets.by_pool.items():
            self.confirm(pool, stored.value)
            self.seen[pool] = stored.value
            if not stale and stored.value.complete_in_era == sets.era:
                self.servers.versions.record_stored(
                    pool, (*stored.value.versions, *stored.value.leaving), read_ms
                )
                self.routes.stored[pool] = set(stored.value.routes)
        if not stale:
            self.began_empty |= basis == self.first_basis and not sets.by_pool
            self.stored = dict(sets.by_pool)

    def apply_write(
        self, pool: str, value: VersionSet, era: int, revision: int, basis: Basis
    ) -> None:
        """Apply a set that this router has written."""
        if basis != self.basis or era != basis.era or self.stored is None:
            return
        self.stored[pool] = StoredVersionSet(value, revision)
        self.seen[pool] = value
        self.confirm(pool, value)

    def confirm(self, pool: str, value: VersionSet) -> None:
        """Record that the versions of a set are stored."""
        for version in value.versions:
            if self.unconfirmed_since_ms.pop((pool, version), None) is not None:
                self.confirmed.add((pool, version))

    def next_set(self, pool: str, span_ms: int, may_remove: bool) -> VersionSet | None:
        """Return the set to be written for a pool, or None if it need not change."""
        assert self.stored is not None and self.basis is not None
        stored = self.stored.get(pool, StoredVersionSet())
        value = stored.value
        span_ms = max(span_ms, value.span_ms)
        whole_ms = span_ms + LEAVE_MARGIN_MS
        recent = self.servers.versions.recent(pool, whole_ms)
        listed = self.servers.versions.listed.get(pool, set())
        knows_all = self.knows_all(whole_ms)
        active = (set(value.versions) | recent) - (set(value.leaving) - listed)
        leaving = set(value.leaving) - listed
        if may_remove and knows_all:
            leaving |= active - recent
            active &= recent
            leaving -= self.removable(pool, leaving)
        if not (active or leaving):
            return None
        is_first = stored.revision is None and self.basis == self.first_basis
        complete = self.basis.era if knows_all or is_first else value.complete_in_era
        changed = VersionSet(
            tuple(sorted(active)),
            tuple(sorted(leaving)),
            span_ms,
            complete,
            self.routes.settled_keys(
                pool, whole_ms, value.routes, is_first and self.began_empty
            ),
        )
        return None if changed == value else changed

    def knows_all(self, whole_ms: int) -> bool:
        """Return whether lists of this era show all versions that matter.

        A version that was stored in an earlier era may be lost.
        """
        era_listed_ms = self.servers.left.era_listed_ms
        return (
            self.servers.versions.listed_throughout(whole_ms)
            and era_listed_ms is not None
            and era_listed_ms <= self.clock.now_ms() - whole_ms
        )

    def removable(self, pool: str, leaving: set[str]) -> set[str]:
        """Return the leaving versions whose time between the two steps is over."""
        now_ms = self.clock.now_ms()
        since_ms = {
            (pool, each): self.leaving_since_ms.get((pool, each), now_ms)
            for each in leaving
        }
        for key in [key for key in self.leaving_since_ms if key[0] == pool]:
            del self.leaving_since_ms[key]
        self.leaving_since_ms |= since_ms
        return {
            version
            for (_, version), each_ms in since_ms.items()
            if now_ms - each_ms >= REMOVAL_DELAY_MS
        }

    def needs_record(self, pool: str, place: Place | None) -> bool:
        """Return whether a router that starts could not infer where a stream began.

        ``place`` is that of the stream's route.
        """
        span_ms = self.spans_ms.get(pool)
        if span_ms is None:
            return False
        value = self.seen.get(pool)
        return (
            place is None
            or value is None
            or not self.is_complete(value)
            or self.may_be_mixed(pool, span_ms)
            or not self.routes.is_among(place, pool, span_ms, value.routes)
        )

    def is_complete(self, value: VersionSet) -> bool:
        """Return whether a set lacks no version in the present era of the store."""
        return self.basis is not None and value.complete_in_era == self.basis.era

    def wants_news(self) -> bool:
        """Return whether another router may complete what is stored, or remove some."""
        return any(
            value is None
            or not self.is_complete(value)
            or self.routes.has_others(pool, value.routes)
            or self.possible_versions(pool, self.spans_ms[pool])
            != self.servers.versions.listed.get(pool, set())
            for pool, value in ((each, self.seen.get(each)) for each in self.spans_ms)
        )

    def may_be_mixed(self, pool: str, span_ms: int) -> bool:
        """Return whether streams of several versions may be taken up in a pool."""
        return len(self.possible_versions(pool, span_ms)) > 1

    def possible_versions(self, pool: str, span_ms: int) -> set[str]:
        """Return the versions that a stream may have, also to a router that starts.

        That one takes all for possible that the store names.
        """
        value = self.seen.get(pool, VersionSet())
        recent = self.servers.versions.recent(pool, span_ms)
        return recent | set(value.versions) | set(value.leaving)

    def longest_span_ms(self) -> int:
        """Return the longest time that a stream may be taken up, 0 if none may."""
        stored = (self.stored or {}).values()
        return max(
            [*self.spans_ms.values(), *(each.value.span_ms for each in stored)],
            default=0,
        )
