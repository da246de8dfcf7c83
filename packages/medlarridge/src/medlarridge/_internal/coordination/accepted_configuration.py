"""The accepted configuration: the entries of both tables, with generations."""

from dataclasses import dataclass, field
from typing import Self

import msgspec
from pydantic import ValidationError

from ..errors import CodecError
from ..protocol.gossip import ConfigurationDelta
from ..protocol.tables import Tables

MAX_REMOVALS = 256
"""Removals that are kept for deltas. A node that misses an older one gets the whole
configuration."""

ROUTES = "routes"
POOLS = "pools"


class AcceptedDocument(msgspec.Struct):
    """JSON structure of the object ``config/accepted``."""

    generation: int
    digest: str
    routes_version: int
    pools_version: int
    entries: dict[str, msgspec.Raw]
    changed: dict[str, int]
    removed: dict[str, int] = {}
    removals_from: int = 0


class TableStatus(msgspec.Struct):
    """The object ``status/tables``: the outcome of the latest edit."""

    routes_version: int
    pools_version: int
    accepted: bool
    generation: int
    reason: str = ""


@dataclass(frozen=True)
class Configuration:
    """One generation of the configuration.

    ``entries`` maps ``routes/<name>`` and ``pools/<name>`` to canonical JSON,
    ``changed`` maps them to the generation that last changed them. ``removed`` maps
    removed entries to the generation that removed them and is complete for generations
    after ``removals_from``.
    """

    generation: int = 0
    tables: Tables = field(default_factory=Tables)
    digest: str = ""
    entries: dict[str, bytes] = field(default_factory=dict)
    changed: dict[str, int] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    removals_from: int = 0
    routes_version: int = 0
    pools_version: int = 0

    @classmethod
    def from_json(cls, value: bytes, peer: str) -> Self:
        """Decode the object ``config/accepted`` and verify its digest."""
        try:
            document = msgspec.json.decode(value, type=AcceptedDocument)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise CodecError(
                f"malformed configuration: {error}", step="decode", peer=peer
            ) from error
        entries = {key: bytes(raw) for key, raw in document.entries.items()}
        return cls(
            document.generation,
            verified_tables(entries, document.digest, peer),
            document.digest,
            entries,
            document.changed,
            document.removed,
            document.removals_from,
            document.routes_version,
            document.pools_version,
        )

    def to_json(self) -> bytes:
        """Encode the object ``config/accepted``."""
        return msgspec.json.encode(
            AcceptedDocument(
                self.generation,
                self.digest,
                self.routes_version,
                self.pools_version,
                {key: msgspec.Raw(value) for key, value in self.entries.items()},
                self.changed,
                self.removed,
                self.removals_from,
            )
        )

    def successor(
        self, tables: Tables, routes_version: int, pools_version: int
    ) -> "Configuration":
        """Return the next generation with the given tables."""
        generation = self.generation + 1
        entries = entries_of(tables)
        changed = {
            key: self.changed[key] if self.entries.get(key) == value else generation
            for key, value in entries.items()
        }
        removed = {k: g for k, g in self.removed.items() if k not in entries}
        removed |= dict.fromkeys(self.entries.keys() - entries.keys(), generation)
        removals_from = self.removals_from
        if len(removed) > MAX_REMOVALS:
            by_age = sorted(removed.items(), key=lambda item: item[1])
            dropped, kept = by_age[:-MAX_REMOVALS], by_age[-MAX_REMOVALS:]
            removals_from = max(removals_from, dropped[-1][1])
            removed = dict(kept)
        return Configuration(
            generation,
            tables,
            tables.digest(),
            entries,
            changed,
            removed,
            removals_from,
            routes_version,
            pools_version,
        )

    def delta(self, since: int, confirmed: bool = True) -> ConfigurationDelta:
        """Return the changes after a generation.

        The delta holds the whole configuration if removals since then are not complete.
        """
        if since < self.removals_from:
            since = 0
        keys = [key for key, value in self.changed.items() if value > since]
        return ConfigurationDelta(
            self.generation,
            self.digest,
            since,
            {key: self.entries[key] for key in keys},
            {key: self.changed[key] for key in keys},
            {k: g for k, g in self.removed.items() if g > since},
            self.removals_from,
            confirmed,
        )

    def apply(self, delta: ConfigurationDelta, peer: str) -> "Configuration":
        """Apply a delta and verify the resulting configuration."""
        if delta.since > self.generation:
            raise CodecError(
                f"delta starts at generation {delta.since},"
                f" but this process has {self.generation}",
                step="apply delta",
                peer=peer,
            )
        if delta.entries.keys() != delta.changed.keys():
            raise CodecError(
                "entries and changed generations of the delta differ",
                step="apply delta",
                peer=peer,
            )
        is_full = delta.since == 0
        base = Configuration() if is_full else self
        entries = base.entries | delta.entries
        changed = base.changed | delta.changed
        removals_from = max(base.removals_from, delta.removals_from)
        removed = {
            key: generation
            for key, generation in (base.removed | delta.removed).items()
            if generation > removals_from and key not in delta.entries
        }
        for key in delta.removed:
            entries.pop(key, None)
            changed.pop(key, None)
        return Configuration(
            delta.generation,
            verified_tables(entries, delta.digest, peer),
            delta.digest,
            entries,
            changed,
            removed,
            removals_from,
        )


def entries_of(tables: Tables) -> dict[str, bytes]:
    """Return the entries of both tables as canonical JSON."""
    dump = tables.model_dump(mode="json")
    return {
        f"{table}/{name}": msgspec.json.encode(entry, order="sorted")
        for table in (ROUTES, POOLS)
        for name, entry in dump[table].items()
    }


def verified_tables(entries: dict[str, bytes], digest: str, peer: str) -> Tables:
    """Build the tables from their entries; raise ``CodecError`` if they are invalid."""
    tables: dict[str, dict[str, object]] = {ROUTES: {}, POOLS: {}}
    try:
        for key, value in entries.items():
            table, _, name = key.partition("/")
            tables[table][name] = msgspec.json.decode(value)
        validated = Tables.model_validate(tables)
    except (KeyError, msgspec.MsgspecError, RecursionError, ValidationError) as error:
        raise CodecError(
            f"invalid configuration: {type(error).__name__}",
            step="validate",
            peer=peer,
        ) from error
    if validated.digest() != digest:
        raise CodecError(
            "digest of the configuration does not match", step="validate", peer=peer
        )
    return validated
