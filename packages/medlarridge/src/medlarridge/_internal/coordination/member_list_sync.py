"""Synchronisation of the member list with peers, when joining and later."""

from random import Random

from ..protocol.gossip import (
    BucketRequest,
    DigestReply,
    ExchangeRequest,
    MemberPage,
    MemberPageRequest,
)
from .member_events import ListedVm
from .member_table import MemberTable

FIRST_SYNC_INTERVAL_MS = 2000
"""After a start, when many records may be missing, lists are compared often. The
interval then doubles up to ``SYNC_INTERVAL_MS``."""
SYNC_INTERVAL_MS = 30_000
FULL_SYNC_INTERVAL_MS = 300_000
MIN_DIFFERENCE_MS = 5000
"""Lists are compared only if all digests received for this long differed from the own
one, since updates on their way make digests differ briefly."""
MAX_SYNC_BUCKETS = 8
CONTACTS = 3
CONTACT_INTERVAL_MS = 1000
MAX_CONTACT_INTERVAL_MS = 8000
MAX_EXTRA_CONTACT_ROUNDS = 16
MIN_KNOWN_PERCENT = 90
"""When a whole fleet starts at once, the first peers know few members. A process asks
more peers until it knows this share of the VM list, in a bounded number of rounds."""


class MemberListSync:
    """Decides when to ask which peers for member records."""

    def __init__(
        self, table: MemberTable, random: Random, address: str, region: str, now_ms: int
    ) -> None:
        self.table = table
        self.random = random
        self.address = address
        self.region = region
        self.vms: dict[str, ListedVm] = {}
        self.synchronised = False
        self.fetching = False
        self.contact_rounds = 0
        self.next_contact_ms = now_ms
        self.contact_interval_ms = CONTACT_INTERVAL_MS
        self.last_known_size = 0
        self.differs_since_ms: int | None = None
        self.reset_intervals(now_ms)

    def lacks_members(self) -> bool:
        """Return whether to ask more peers for their member lists."""
        if not self.synchronised:
            return True
        known = len(self.table.records)
        return (
            self.contact_rounds < MAX_EXTRA_CONTACT_ROUNDS
            and 100 * known < MIN_KNOWN_PERCENT * len(self.vms)
        )

    def contacts(self, now_ms: int) -> list[str]:
        """Return the addresses of the VM list to contact now, if it is time."""
        if now_ms < self.next_contact_ms or not self.lacks_members():
            return []
        self.contact_rounds += 1
        size = len(self.table.records)
        if size > self.last_known_size:
            self.contact_interval_ms = CONTACT_INTERVAL_MS
        else:
            self.contact_interval_ms = min(
                2 * self.contact_interval_ms, MAX_CONTACT_INTERVAL_MS
            )
        self.last_known_size = size
        self.next_contact_ms = now_ms + self.contact_interval_ms
        listed = [
            vm
            for address, vm in self.vms.items()
            if address != self.address and not vm.leaving
        ]
        if not listed:
            return []
        chosen = self.random.sample(listed, min(CONTACTS, len(listed)))
        same_region = [vm for vm in listed if vm.region == self.region]
        if same_region:
            chosen[0] = self.random.choice(same_region)
        return list(dict.fromkeys(vm.address for vm in chosen))

    def start_fetch(self) -> MemberPageRequest | None:
        """Return the request for the first page, unless a fetch is in progress."""
        if self.fetching:
            return None
        self.fetching = True
        return MemberPageRequest()

    def next_page(
        self, request: MemberPageRequest, page: MemberPage
    ) -> MemberPageRequest | None:
        """Return the request for the next page, if there is one."""
        self.fetching = page.next_after > request.after
        return MemberPageRequest(page.next_after) if self.fetching else None

    def reset_intervals(self, now_ms: int) -> None:
        """Reset the intervals so that member lists are compared often again."""
        self.sync_interval_ms = FIRST_SYNC_INTERVAL_MS
        self.full_sync_interval_ms = FIRST_SYNC_INTERVAL_MS
        self.next_sync_ms = now_ms + FIRST_SYNC_INTERVAL_MS
        self.next_full_sync_ms = now_ms

    def postpone(self, now_ms: int) -> None:
        """Postpone the next comparison after a change that makes lists differ."""
        jitter_ms = self.random.randrange(SYNC_INTERVAL_MS)
        self.next_sync_ms = now_ms + SYNC_INTERVAL_MS // 2 + jitter_ms
        self.differs_since_ms = None
        self.sync_interval_ms = SYNC_INTERVAL_MS

    def should_compare(self, digest: int, now_ms: int) -> bool:
        """Return whether to compare lists with a peer that sent this digest."""
        if digest == self.table.digest:
            self.differs_since_ms = None
            return False
        if self.differs_since_ms is None:
            self.differs_since_ms = now_ms
        interval_ms = self.sync_interval_ms
        settled_ms = self.differs_since_ms + min(interval_ms, MIN_DIFFERENCE_MS)
        if now_ms < max(settled_ms, self.next_sync_ms):
            return False
        jitter_ms = self.random.randrange(interval_ms)
        self.next_sync_ms = now_ms + interval_ms // 2 + jitter_ms
        self.sync_interval_ms = min(2 * interval_ms, SYNC_INTERVAL_MS)
        return True

    def sync_request(self, reply: DigestReply, now_ms: int) -> ExchangeRequest | None:
        """Return the request for some differing buckets, or for the whole list."""
        differing = self.table.differing_buckets(reply.digests)
        needs_full_sync = len(differing) > 4 * MAX_SYNC_BUCKETS
        if needs_full_sync and now_ms >= self.next_full_sync_ms:
            self.next_full_sync_ms = now_ms + self.full_sync_interval_ms
            self.full_sync_interval_ms = min(
                2 * self.full_sync_interval_ms, FULL_SYNC_INTERVAL_MS
            )
            return MemberPageRequest()
        if not differing:
            return None
        count = min(MAX_SYNC_BUCKETS, len(differing))
        return BucketRequest(self.random.sample(differing, count))
