"""The store's record of which router gives out the permits for a pool."""

from msgspec import Struct, field

from .revision import Revision


class LeaseRecord(Struct, frozen=True):
    """What a router writes when it takes, renews or releases the lease of a pool.

    ``node`` is empty if the lease is released, ``process`` the ID of the router's
    process. ``era`` is that of the store which the router knew. ``ends_after_ms`` are
    the permits that a released lease leaves behind: by start of a server, the times
    from writing the record until their requests have arrived. ``unknown_for_ms`` is that
    time for permits which the releasing router did not know, None if there were none.
    """

    node: str
    process: int
    era: int
    ends_after_ms: dict[str, list[int]] = field(default_factory=dict)
    unknown_for_ms: int | None = None

    @property
    def released(self) -> bool:
        """Return whether no router has the lease."""
        return not self.node


class StoredLease(Struct, frozen=True):
    """A record at its revision in the store; without one ``record`` is None."""

    record: LeaseRecord | None
    revision: Revision
