"""Weighted rendezvous hashing of chats onto the members of a pool."""

import math
from collections.abc import Collection, Iterable

from xxhash import xxh64_intdigest

from ..identity import Member

HASH_RANGE = 2**64
# Expected number of members whose exact score is computed. Ranking 460 members
# exactly costs several times as much as hashing them; with 16 expected candidates
# a request for the first four falls back to the exact way about once in 5,000.
EXPECTED_CANDIDATES = 16


class Ranking:
    """Members of one group with their cached hash seeds."""

    def __init__(self, members: Iterable[Member]) -> None:
        unique = {m.instance.address: m for m in members if m.weight > 0}
        self.members = [unique[address] for address in sorted(unique)]
        total = sum(m.weight for m in self.members) or 1.0
        limit = EXPECTED_CANDIDATES / total
        self.entries = [
            (
                xxh64_intdigest(m.instance.address.encode()),
                int(math.exp(-m.weight * limit) * HASH_RANGE),
                m,
            )
            for m in self.members
        ]

    def rank(self, key: str, count: int) -> list[Member]:
        """Return the first members of the ranking for the key."""
        data = key.encode()
        scored = [
            (hashed, member)
            for seed, threshold, member in self.entries
            if (hashed := xxh64_intdigest(data, seed)) >= threshold
        ]
        if len(scored) < count:
            scored = [(xxh64_intdigest(data, s), m) for s, _, m in self.entries]
        scored.sort(key=score)
        return [member for _, member in scored[:count]]


def score(entry: tuple[int, Member]) -> tuple[float, str]:
    """Return the sort key of a hashed member; the lowest is first.

    An exponential variable divided by the weight gives each member a share of the
    keys in proportion to its weight, and a change of one weight moves only that
    member's keys.
    """
    hashed, member = entry
    return -math.log((hashed + 1) / HASH_RANGE) / member.weight, member.instance.address


class Placement:
    """Ranking of a pool's members for each chat; holds no state per chat.

    Addresses, not instance numbers, are hashed, so a restarted process keeps its
    chats. Draining members are left out. Members held down after flapping are left
    out unless no other member remains.
    """

    def __init__(
        self, members: Iterable[Member] = (), held_down: Collection[str] = ()
    ) -> None:
        self.update(members, held_down)

    def update(
        self, members: Iterable[Member], held_down: Collection[str] = ()
    ) -> None:
        """Replace the pool's members."""
        serving = [m for m in members if not m.draining]
        stable = [m for m in serving if m.instance.address not in held_down]
        self.members = stable or serving
        self.everywhere = Ranking(self.members)
        regions = {m.instance.region for m in self.members}
        self.inside = {
            r: Ranking(m for m in self.members if m.instance.region == r)
            for r in regions
        }
        self.outside: dict[str, Ranking] = {}

    def rank(
        self, key: str, count: int, region: str = "", other_regions: bool = False
    ) -> list[Member]:
        """Return up to ``count`` members, the chat's home first.

        Members in the region come first. Members of other regions follow only if
        the route allows it. Without a region all members rank alike.
        """
        if not region:
            return self.everywhere.rank(key, count)
        inside = self.inside.get(region)
        first = inside.rank(key, count) if inside else []
        if not other_regions or len(first) >= count:
            return first
        return first + self.outside_of(region).rank(key, count - len(first))

    def outside_of(self, region: str) -> Ranking:
        """Return the ranking of all members outside the region."""
        if region not in self.outside:
            self.outside[region] = Ranking(
                m for m in self.members if m.instance.region != region
            )
        return self.outside[region]
