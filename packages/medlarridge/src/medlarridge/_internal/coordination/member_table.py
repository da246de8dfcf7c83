"""Table of all known members, with cached lists by pool."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import xxhash

from ..identity import Member, Role
from ..protocol.gossip import MAX_PAGE_RECORDS, MemberPage, MemberRecord, Status

BUCKETS = 256
BUCKET_MASK = BUCKETS - 1
DIGEST_MASK = 0xFFFFFFFF
PAGE_RECORDS = 256
FLOOR_DIVISOR = 2
"""Failed probes alone never remove more than half of the members of a pool."""

assert PAGE_RECORDS <= MAX_PAGE_RECORDS


class Record:
    """Everything known about the latest instance at an address."""

    __slots__ = (
        "bucket",
        "draining_seen",
        "hold_until_ms",
        "incarnation",
        "last_heard_ms",
        "last_suspected_ms",
        "link_failed",
        "member",
        "missed_direct_answers",
        "removed_by_platform",
        "status",
        "status_ms",
        "usable",
    )

    def __init__(
        self, member: Member, incarnation: int, status: Status, now_ms: int
    ) -> None:
        self.member = member
        self.incarnation = incarnation
        self.status = status
        self.status_ms = now_ms
        self.last_heard_ms = -1
        self.hold_until_ms = -1
        self.last_suspected_ms = -1
        self.link_failed = False
        self.missed_direct_answers = 0
        self.draining_seen = False
        self.removed_by_platform = False
        self.usable = False
        self.bucket = bucket_of(member.instance.address)

    @property
    def address(self) -> str:
        """Return the address of the member."""
        return self.member.instance.address

    @property
    def number(self) -> int:
        """Return the instance number of the member."""
        return self.member.instance.number

    @property
    def data_centre(self) -> str:
        """Return the data centre of the member."""
        return self.member.instance.data_centre

    @property
    def draining(self) -> bool:
        """Return whether the member accepts no new work."""
        return self.member.draining or self.draining_seen or self.removed_by_platform

    @property
    def present(self) -> bool:
        """Return whether the member is considered running."""
        return self.status <= Status.SUSPECT

    @property
    def is_alive(self) -> bool:
        """Return whether the member is alive and not suspected."""
        return self.status is Status.ALIVE

    def precedence(self) -> tuple[int, Status, int]:
        """Return the sort key of statements about an address; the highest prevails."""
        return self.incarnation, self.status, self.number

    def announcement(self) -> MemberRecord:
        """Return the record as a message.

        A suspected member is announced as alive, since a suspicion ends within seconds
        and is sent in messages of its own.
        """
        status = Status.ALIVE if self.present else self.status
        return MemberRecord(self.member, self.incarnation, status)

    def fingerprint(self) -> int:
        """Return a hash of the address, instance and incarnation of the member."""
        text = f"{self.address}|{self.number}|{self.incarnation}"
        return xxhash.xxh32_intdigest(text.encode())


@dataclass
class PoolView:
    """Cached member lists of one pool."""

    members: list[Member]
    usable: list[Member]


class MemberTable:
    """Records by address, by pool and by data centre.

    ``down_data_centres`` holds the data centres that are unreachable as a whole. Their
    members keep their own status, so that all of them return at once.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.pools: dict[str, dict[str, Record]] = {}
        self.data_centres: dict[str, dict[str, Record]] = {}
        self.buckets: list[dict[str, Record]] = [{} for _ in range(BUCKETS)]
        self.digests = [0] * BUCKETS
        self.digest = 0
        self.present_count = 0
        self.down_data_centres: set[str] = set()
        self.views: dict[str, PoolView] = {}
        self.revision = 0
        self.interned_names: dict[str, str] = {}

    def get(self, address: str) -> Record | None:
        """Return the record of an address."""
        return self.records.get(address)

    def store(self, record: Record) -> None:
        """Add a record or replace the one of the same address."""
        self.remove(record.address)
        record.member = self.with_interned_names(record.member)
        self.records[record.address] = record
        self.buckets[record.bucket][record.address] = record
        self.pools.setdefault(record.member.pool, {})[record.address] = record
        self.data_centres.setdefault(record.data_centre, {})[record.address] = record
        self.update_digests(record, 1)
        self.invalidate(record.member.pool)

    def remove(self, address: str) -> None:
        """Remove the record of an address."""
        record = self.records.pop(address, None)
        if record is None:
            return
        self.update_digests(record, -1)
        del self.buckets[record.bucket][address]
        del self.pools[record.member.pool][address]
        del self.data_centres[record.data_centre][address]
        self.invalidate(record.member.pool)

    def set_status(
        self, record: Record, status: Status, incarnation: int, now_ms: int
    ) -> None:
        """Change the status of a stored record."""
        self.update_digests(record, -1)
        if status is not record.status:
            record.status_ms = now_ms
        record.status = status
        record.incarnation = incarnation
        self.update_digests(record, 1)
        self.invalidate(record.member.pool)

    def update_digests(self, record: Record, sign: int) -> None:
        """Add a record to the count and the digests, or remove it.

        Members of an unreachable data centre are excluded. Processes may have seen
        different last states of them, and comparing lists cannot resolve that.
        """
        if not record.present or record.data_centre in self.down_data_centres:
            return
        self.present_count += sign
        fingerprint = record.fingerprint()
        self.digests[record.bucket] ^= fingerprint
        self.digest ^= fingerprint

    def invalidate(self, pool: str) -> None:
        """Invalidate the cached lists of a pool and increment the revision."""
        self.views.pop(pool, None)
        self.revision += 1

    def set_data_centre_down(self, data_centre: str, down: bool) -> None:
        """Record whether a data centre is unreachable as a whole."""
        records = self.data_centres[data_centre].values()
        for record in records:
            self.update_digests(record, -1)
        if down:
            self.down_data_centres.add(data_centre)
        else:
            self.down_data_centres.discard(data_centre)
        for record in records:
            self.update_digests(record, 1)
        for pool in {record.member.pool for record in records}:
            self.invalidate(pool)

    def with_interned_names(self, member: Member) -> Member:
        """Return the member with interned strings; many members share few names."""
        intern = self.interned_names.setdefault
        old = member.instance
        instance = msgspec.structs.replace(
            old,
            data_centre=intern(old.data_centre, old.data_centre),
            region=intern(old.region, old.region),
            role=Role(old.role),
        )
        return msgspec.structs.replace(
            member, instance=instance, pool=intern(member.pool, member.pool)
        )

    def view(self, pool: str) -> PoolView:
        """Return the lists of a pool, from the cache if possible."""
        view = self.views.get(pool)
        if view is None:
            view = self.views[pool] = self.build_view(pool)
        return view

    def build_view(self, pool: str) -> PoolView:
        """Build the lists of a pool, which hold at least half of its members.

        The unavailable members heard from last are added up to that floor.
        """
        available, unavailable = [], []
        for record in self.pools.get(pool, {}).values():
            record.usable = False
            if record.present and record.data_centre not in self.down_data_centres:
                available.append(record)
            elif record.status is not Status.LEFT and not record.removed_by_platform:
                unavailable.append(record)
        floor = half_rounded_up(len(available) + len(unavailable))
        if len(available) < floor:
            unavailable.sort(key=lambda r: (r.last_heard_ms, r.status_ms), reverse=True)
            available += unavailable[: floor - len(available)]
        available.sort(key=lambda r: r.member.instance.address)
        self.mark_usable(available)
        return PoolView(
            [r.member for r in available], [r.member for r in available if r.usable]
        )

    def mark_usable(self, available: list[Record]) -> None:
        """Mark the members that may get new work, at least half of the serving ones."""
        serving = [r for r in available if not r.draining]
        unhealthy = []
        for record in serving:
            record.usable = self.is_healthy(record)
            if not record.usable:
                unhealthy.append(record)
        missing = half_rounded_up(len(serving)) - (len(serving) - len(unhealthy))
        if missing > 0:
            unhealthy.sort(key=lambda r: r.last_heard_ms, reverse=True)
            for record in unhealthy[:missing]:
                record.usable = True

    def is_healthy(self, record: Record) -> bool:
        """Return whether the member, the link to it and its data centre are healthy."""
        return (
            record.status is Status.ALIVE
            and not record.link_failed
            and record.data_centre not in self.down_data_centres
        )

    def page(self, after: str) -> MemberPage:
        """Return a page of records whose addresses sort after the given one."""
        addresses = sorted(a for a in self.records if a > after)
        chosen = addresses[:PAGE_RECORDS]
        has_more = len(addresses) > len(chosen)
        return MemberPage(
            [self.records[address].announcement() for address in chosen],
            chosen[-1] if has_more else "",
        )

    def digest_bytes(self) -> bytes:
        """Return the digests of all buckets as bytes."""
        return b"".join(d.to_bytes(4, "big") for d in self.digests)

    def bucket_page(self, buckets: list[int]) -> MemberPage:
        """Return the records of some buckets, up to the maximum size of a page."""
        records = [
            record.announcement()
            for bucket in buckets
            if bucket < BUCKETS
            for record in self.buckets[bucket].values()
        ]
        return MemberPage(records[:MAX_PAGE_RECORDS])

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Return the buckets whose digest differs from a peer's."""
        if len(digests) != 4 * BUCKETS:
            return []
        return [
            bucket
            for bucket, own in enumerate(self.digests)
            if own != int.from_bytes(digests[4 * bucket : 4 * bucket + 4], "big")
        ]

    def present_records(self) -> Iterator[Record]:
        """Return the records of running members."""
        return (r for r in self.records.values() if r.present)


def bucket_of(address: str) -> int:
    """Return the index of the bucket that contains an address."""
    return xxhash.xxh32_intdigest(address.encode()) & BUCKET_MASK


def half_rounded_up(count: int) -> int:
    """Return half of a count, rounded up."""
    return -(-count // FLOOR_DIVISOR)
