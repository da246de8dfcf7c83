"""Weighted rendezvous hashing of chats to the members of a pool."""

import math
from collections.abc import Collection, Iterable

from xxhash import xxh64_intdigest

from ..identity import Member

HASH_RANGE = 2**64
# Expected number of members whose exact score is computed. Scoring all 460 members of
# a pool costs several times as much as hashing them. With 16 expected candidates, a
# ranking of the first four falls back to scoring all members once in about 5,000 calls.
EXPECTED_CANDIDATES = 16


class Ranking:
    """Ranking of one group of members, with cached hash seeds."""

    def __init__(self, members: Iterable[Member]) -> None:
        unique = {m.instance.address: m for m in members if m.weight > 0}
        self.members = [unique[address] for address in sorted(unique)]
        total = sum(m.weight for m in self.members) or 1.0
        score_limit = EXPECTED_CANDIDATES / total
        self.entries = [
            (
                xxh64_intdigest(m.instance.address.encode()),
                int(math.exp(-m.weight * score_limit) * HASH_RANGE),
                m,
            )
            for m in self.members
        ]

    def rank(self, key: str, count: int) -> list[Member]:
        """Return the first ``count`` members of the ranking for a key."""
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
    """Return the sort key of a hashed member; the lowest ranks first.

    The score is an exponential variable divided by the weight. Each member thus gets a
    share of the keys proportional to its weight, and changing one weight moves only
    keys from or to that member.
    """
    hashed, member = entry
    return -math.log((hashed + 1) / HASH_RANGE) / member.weight, member.instance.address


class Placement:
    """Ranks a pool's members for each chat, without any state per chat.

    Members are hashed by address and not by instance number, so a restarted process
    keeps its chats. Draining members are excluded. Members held down after flapping
    are excluded unless no other member remains.
    """

    def __init__(
        self, members: Iterable[Member] = (), held_down: Collection[str] = ()
    ) -> None:
        self.update(members, held_down)

    def update(
        self, members: Iterable[Member], held_down: Collection[str] = ()
    ) -> None:
        """Replace the members of the pool."""
        serving = [m for m in members if not m.draining]
        stable = [m for m in serving if m.instance.address not in held_down]
        self.members = stable or serving
        self.all_regions = Ranking(self.members)
        regions = {m.instance.region for m in self.members}
        self.by_region = {
            r: Ranking(m for m in self.members if m.instance.region == r)
            for r in regions
        }
        self.outside_region: dict[str, Ranking] = {}

    def rank(
        self, key: str, count: int, region: str = "", other_regions: bool = False
    ) -> list[Member]:
        """Return up to ``count`` members, the chat's home first.

        Members in the given region come first. Members of other regions follow only if
        ``other_regions`` is set. Without a region all members are ranked together.
        """
        if not region:
            return self.all_regions.rank(key, count)
        in_region = self.by_region.get(region)
        first = in_region.rank(key, count) if in_region else []
        if not other_regions or len(first) >= count:
            return first
        return first + self.ranking_outside(region).rank(key, count - len(first))

    def ranking_outside(self, region: str) -> Ranking:
        """Return the ranking of all members outside the region."""
        if region not in self.outside_region:
            self.outside_region[region] = Ranking(
                m for m in self.members if m.instance.region != region
            )
        return self.outside_region[region]
