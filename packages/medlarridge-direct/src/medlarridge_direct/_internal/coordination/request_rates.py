"""Requests of the last second by pool, rank and account, of this router and its peers.

There is no shared counter: each router counts what reaches it, before it refuses any, and
reports its counts. Totals of the fleet are the sums over the routers that were heard,
scaled to the number of routers.
"""

from collections import deque

import xxhash
from msgspec import Struct, field

from medlarridge._internal.clock import MS_PER_S, Clock

from .fleet_size import FleetSize

SLOT_MS = 100
SLOTS = MS_PER_S // SLOT_MS
"""The last second is counted in slots, since the counts are reported ten times in it."""

MIN_RETENTION_MS = 1_500
RETENTION_PER_ROUTER_MS = 12
"""Age up to which the counts of a peer are used: at least the lifetime of a report, and
with many routers one and a half of the intervals at which they report, 8 ms per peer."""

MAX_REPORTED = 40
"""Accounts in one report; the others are reported as one."""

POOL_BITS = 28
RANK_BITS = 4
ACCOUNT_BITS = 32
MAX_RANK = 14
ANSWERED = 15
"""Rank under which the answers that began are counted."""

OTHER_ACCOUNTS = 0
"""Account part of the key for accounts that a report has no room for, and for requests
that return when they were asked to: their account did not send more because of them."""


def group_key(pool: str, rank: int) -> int:
    """Return the key of all requests of a rank to a pool."""
    return (xxhash.xxh32_intdigest(pool.encode()) >> RANK_BITS) << RANK_BITS | rank


def account_key(pool: str, rank: int, account: str) -> int:
    """Return the 64-bit key under which the requests of an account are counted."""
    hashed = xxhash.xxh32_intdigest(account.encode()) or 1
    return group_key(pool, min(max(rank, 0), MAX_RANK)) << ACCOUNT_BITS | hashed


class PeerRequests(Struct):
    """The last counts of a peer."""

    counts: dict[int, int]
    received_ms: int


class Totals(Struct):
    """Sums of counts, by key and by group of keys."""

    by_group: dict[int, dict[int, int]] = field(default_factory=dict)
    sums: dict[int, int] = field(default_factory=dict)

    def add(self, key: int, count: int) -> None:
        """Add a positive or negative count."""
        group = key >> ACCOUNT_BITS
        add_count(self.sums, group, count)
        keys = self.by_group.setdefault(group, {})
        add_count(keys, key, count)
        if not keys:
            del self.by_group[group]


class RequestRates(Struct):
    """Counts of requests and answers in the last second.

    ``own`` are those of this router, ``peer_totals`` those of the ``peers`` heard.
    """

    clock: Clock
    fleet_size: FleetSize
    slots: deque[tuple[int, dict[int, int]]] = field(default_factory=deque)
    own: Totals = field(default_factory=Totals)
    peers: dict[int, PeerRequests] = field(default_factory=dict)
    peer_totals: Totals = field(default_factory=Totals)

    def count(self, pool: str, rank: int, account: str) -> None:
        """Count a request of a client, admitted or not."""
        self.add(account_key(pool, rank, account))

    def count_return(self, pool: str, rank: int) -> None:
        """Count a request that returns when it was asked to, for no account."""
        self.add(group_key(pool, rank) << ACCOUNT_BITS | OTHER_ACCOUNTS)

    def count_answer(self, pool: str) -> None:
        """Count an answer that begins."""
        self.add(group_key(pool, ANSWERED) << ACCOUNT_BITS)

    def add(self, key: int) -> None:
        """Add one to a count of the present slot."""
        self.expire_slots()
        slot = self.clock.now_ms() // SLOT_MS
        if not self.slots or self.slots[-1][0] != slot:
            self.slots.append((slot, {}))
        add_count(self.slots[-1][1], key, 1)
        self.own.add(key, 1)

    def expire_slots(self) -> None:
        """Drop the slots that are older than the last second."""
        oldest = self.clock.now_ms() // SLOT_MS - SLOTS
        while self.slots and self.slots[0][0] <= oldest:
            for key, count in self.slots.popleft()[1].items():
                self.own.add(key, -count)

    def reported(self) -> dict[int, int]:
        """Return the counts for a report, empty unless there are any."""
        self.expire_slots()
        counts: dict[int, int] = {}
        for keys in self.own.by_group.values():
            counts |= keys
        if len(counts) <= MAX_REPORTED:
            return counts
        largest = sorted(counts, key=lambda key: -counts[key])[:MAX_REPORTED]
        reported = {key: counts[key] for key in largest}
        for key in counts.keys() - reported.keys():
            others = key >> ACCOUNT_BITS << ACCOUNT_BITS | OTHER_ACCOUNTS
            add_count(reported, others, counts[key])
        return reported

    def apply_report(self, router_id: int, counts: dict[int, int]) -> None:
        """Replace the counts of a peer."""
        previous = self.peers.get(router_id)
        self.peers[router_id] = PeerRequests(counts, self.clock.now_ms())
        for key, count in counts.items():
            self.peer_totals.add(key, count)
        if previous is not None:
            self.subtract(previous)

    def subtract(self, peer: PeerRequests) -> None:
        """Take the counts of a peer out of the totals."""
        for key, count in peer.counts.items():
            self.peer_totals.add(key, -count)

    def expire(self) -> None:
        """Drop the counts of peers that are no longer heard."""
        retention_ms = max(
            MIN_RETENTION_MS, RETENTION_PER_ROUTER_MS * (len(self.peers) + 1)
        )
        oldest_ms = self.clock.now_ms() - retention_ms
        for router_id, peer in list(self.peers.items()):
            if peer.received_ms < oldest_ms:
                self.subtract(self.peers.pop(router_id))

    @property
    def scale(self) -> float:
        """Return by what the counts of the peers heard stand for those of all peers."""
        if not self.peers or self.fleet_size.confirmed_ms is None:
            return 1.0
        return max((self.fleet_size.count - 1) / len(self.peers), 1.0)

    def group_per_s(self, pool: str, rank: int) -> float:
        """Return the requests a second of a rank at all routers."""
        self.expire_slots()
        group = group_key(pool, rank)
        own, peers = self.own.sums.get(group, 0), self.peer_totals.sums.get(group, 0)
        return own + self.scale * peers

    def answered_per_s(self, pool: str) -> float:
        """Return the answers a second that begin at all routers."""
        return self.group_per_s(pool, ANSWERED)

    def accounts_per_s(self, pool: str, rank: int) -> dict[int, float]:
        """Return the requests a second of each account of a rank, at all routers."""
        group, scale = group_key(pool, rank), self.scale
        rates: dict[int, float] = dict(self.own.by_group.get(group, {}))
        for key, count in self.peer_totals.by_group.get(group, {}).items():
            rates[key] = rates.get(key, 0) + scale * count
        rates.pop(group << ACCOUNT_BITS | OTHER_ACCOUNTS, None)
        return rates


def add_count(counts: dict[int, int], key: int, count: int) -> None:
    """Add to a count; remove it when it reaches zero."""
    total = counts.get(key, 0) + count
    if total:
        counts[key] = total
    else:
        counts.pop(key, None)
