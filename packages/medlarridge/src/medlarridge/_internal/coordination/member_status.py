"""Status changes of members, with the state that depends on them."""

from ..events import register
from ..log import log_event
from ..protocol.gossip import Status
from .member_list_sync import MemberListSync
from .member_table import MemberTable, Record
from .probing import Prober
from .suspicions import SUSPICION_TIMEOUT_MS, Suspicions
from .update_queue import UpdateQueue

HOLD_DOWN_MS = 30_000
FLAP_WINDOW_MS = 60_000
TOMBSTONE_RETENTION_MS = 600_000

MEMBER_DEAD = register(4001, "WARNING", "member is dead")
MEMBER_BACK = register(4002, "INFO", "member is back")
MEMBER_REPLACED = register(4003, "INFO", "address has a new instance")


class StatusTracker:
    """Changes the status of members in the table, the prober and the suspicions."""

    def __init__(
        self,
        table: MemberTable,
        prober: Prober,
        suspicions: Suspicions,
        list_sync: MemberListSync,
        update_queue: UpdateQueue,
    ) -> None:
        self.table = table
        self.prober = prober
        self.suspicions = suspicions
        self.list_sync = list_sync
        self.update_queue = update_queue

    def set_link_failed(self, record: Record, failed: bool) -> None:
        """Record whether the direct link to a member has failed."""
        if record.link_failed == failed:
            return
        record.link_failed = failed
        if failed:
            self.prober.broken_links[record.address] = None
        else:
            self.prober.broken_links.pop(record.address, None)
        self.table.invalidate(record.member.pool)

    def set_removed_by_platform(self, record: Record, removed: bool) -> None:
        """Record whether the platform removes, or has removed, the VM of a member."""
        if record.removed_by_platform != removed:
            record.removed_by_platform = removed
            self.table.invalidate(record.member.pool)

    def carry_over(self, new: Record, old: Record, now_ms: int) -> None:
        """Copy the state that stays valid to the new record; detect flapping."""
        new.hold_until_ms = old.hold_until_ms
        new.last_suspected_ms = old.last_suspected_ms
        same_instance = old.number == new.number
        if same_instance:
            new.last_heard_ms = old.last_heard_ms
            new.link_failed = old.link_failed
            new.draining_seen = old.draining_seen and new.member.draining
            new.removed_by_platform = old.removed_by_platform
        else:
            self.prober.broken_links.pop(old.address, None)
            log_event(MEMBER_REPLACED, member=new.address)
        if not new.is_alive:
            return
        # An announced restart is not a flap, even if the departure message of the old
        # instance arrives late.
        replaced = not same_instance and old.present and not old.draining
        returned = old.status is Status.DEAD or replaced
        suspected_again = (
            old.status is Status.SUSPECT
            and old.last_suspected_ms >= 0
            and now_ms - old.last_suspected_ms < FLAP_WINDOW_MS
        )
        if old.status is Status.SUSPECT:
            new.last_suspected_ms = now_ms
        if returned or suspected_again:
            new.hold_until_ms = now_ms + HOLD_DOWN_MS
        if old.status is Status.DEAD:
            log_event(MEMBER_BACK, member=new.address)

    def heard_recently(self, record: Record, now_ms: int) -> bool:
        """Return whether the member was heard from within the suspicion timeout."""
        return (
            record.last_heard_ms >= 0
            and now_ms - record.last_heard_ms < SUSPICION_TIMEOUT_MS
        )

    def mark_gone(
        self, record: Record, status: Status, incarnation: int, now_ms: int
    ) -> None:
        """Record that a member is dead or has left."""
        self.suspicions.end(record.address)
        self.table.set_status(record, status, incarnation, now_ms)
        self.update_prober(record)
        if status is Status.DEAD:
            log_event(MEMBER_DEAD, member=record.address)

    def update_prober(self, record: Record) -> None:
        """Update the address sets of the prober after a change of status."""
        if record.status is Status.DEAD:
            self.prober.dead_addresses[record.address] = None
            vm = self.list_sync.vms.get(record.address)
            if self.list_sync.vms and (vm is None or vm.leaving):
                record.removed_by_platform = True
        else:
            self.prober.dead_addresses.pop(record.address, None)
        if not record.present:
            self.prober.broken_links.pop(record.address, None)

    def remove_tombstones(self, now_ms: int) -> None:
        """Remove members that have been dead or left for a long time."""
        for record in list(self.table.records.values()):
            if (
                not record.present
                and now_ms - record.status_ms >= TOMBSTONE_RETENTION_MS
            ):
                self.table.remove(record.address)
                self.prober.dead_addresses.pop(record.address, None)
                vm = self.list_sync.vms.get(record.address)
                if vm is not None and not vm.leaving:
                    self.prober.uncontacted_addresses[record.address] = None

    def withdraw_suspicions(self, addresses: list[str], now_ms: int) -> None:
        """End suspicions and set the members alive.

        Later probes suspect again the members that still do not answer.
        """
        for address in addresses:
            record = self.table.get(address)
            if record is not None and record.status is Status.SUSPECT:
                self.update_queue.discard(address)
                self.table.set_status(record, Status.ALIVE, record.incarnation, now_ms)
            self.suspicions.end(address)
