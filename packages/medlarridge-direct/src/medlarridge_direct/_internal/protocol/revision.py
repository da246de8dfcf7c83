"""Revisions of the platform's store."""

import msgspec


class Revision(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A revision of the store, ordered by era and then by number.

    A new era begins when the store comes back from an older copy: it has lost its last
    changes and gives out their numbers again for other changes.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


NO_REVISION = Revision()
"""Precedes all revisions of the store."""
