"""Evacuated data centres as the platform's store lists them."""

from msgspec import Struct

from .revision import Revision


class EvacuationSnapshot(Struct, frozen=True):
    """The data centres that were evacuated at a revision of the store."""

    revision: Revision
    data_centres: frozenset[str] = frozenset()
