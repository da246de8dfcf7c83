"""Status of the other members, with the sets that depend on it."""

from ..events import register
from ..log import log_event
from ..protocol.gossip import Status
from .member_list_sync import MemberListSync
from .member_table import MemberTable, Record
from .probing import Prober
from .suspicions import SUSPICION_MS, Suspicions
from .update_queue import UpdateQueue

HOLD_DOWN_MS = 30_000
FLAP_WINDOW_MS = 60_000
TOMBSTONE_MS = 600_000

MEMBER_DEAD = register(4001, "WARNING", "member is dead")
MEMBER_BACK = register(4002, "INFO", "member is back")
MEMBER_REPLACED = register(4003, "INFO", "address has a new instance")


class StatusTracker:
    """Changes the status of members and keeps table, probes and suspicions in line."""

    def __init__(
        self,
        table: MemberTable,
        prober: Prober,
        suspicions: Suspicions,
        list_sync: MemberListSync,
        queue: UpdateQueue,
    ) -> None:
        self.table = table
        self.prober = prober
        self.suspicions = suspicions
        self.list_sync = list_sync
        self.queue = queue

    def set_link(self, record: Record, failed: bool) -> None:
        """Record whether this process reaches the member directly."""
        if record.link_failed == failed:
            return
        record.link_failed = failed
        if failed:
            self.prober.broken_links[record.address] = None
        else:
            self.prober.broken_links.pop(record.address, None)
        self.table.changed(record.member.pool)

    def set_removed(self, record: Record, removed: bool) -> None:
        """Record whether the platform removes the VM of a member."""
        if record.removed_by_platform != removed:
            record.removed_by_platform = removed
            self.table.changed(record.member.pool)

    def inherit(self, new: Record, old: Record, now_ms: int) -> None:
        """Carry over what stays true and hold a flapping member down."""
        new.hold_until_ms = old.hold_until_ms
        new.suspected_ms = old.suspected_ms
        same = old.number == new.number
        if same:
            new.heard_ms = old.heard_ms
            new.link_failed = old.link_failed
            new.draining_seen = old.draining_seen and new.member.draining
            new.removed_by_platform = old.removed_by_platform
        else:
            self.prober.broken_links.pop(old.address, None)
            log_event(MEMBER_REPLACED, member=new.address)
        if not new.is_alive:
            return
        # A restart that was announced is no flap, also if its goodbye comes late.
        replaced = not same and old.present and not old.draining
        returned = old.status is Status.DEAD or replaced
        suspected_again = (
            old.status is Status.SUSPECT
            and old.suspected_ms >= 0
            and now_ms - old.suspected_ms < FLAP_WINDOW_MS
        )
        if old.status is Status.SUSPECT:
            new.suspected_ms = now_ms
        if returned or suspected_again:
            new.hold_until_ms = now_ms + HOLD_DOWN_MS
        if old.status is Status.DEAD:
            log_event(MEMBER_BACK, member=new.address)

    def heard_recently(self, record: Record, now_ms: int) -> bool:
        """Return whether the member answered within the time of a suspicion."""
        return record.heard_ms >= 0 and now_ms - record.heard_ms < SUSPICION_MS

    def bury(
        self, record: Record, status: Status, incarnation: int, now_ms: int
    ) -> None:
        """Record that a member is dead or has left."""
        self.suspicions.end(record.address)
        self.table.set_status(record, status, incarnation, now_ms)
        self.track_status(record)
        if status is Status.DEAD:
            log_event(MEMBER_DEAD, member=record.address)

    def track_status(self, record: Record) -> None:
        """Keep the sets of the prober in line with the status of a record."""
        if record.status is Status.DEAD:
            self.prober.dead[record.address] = None
            vm = self.list_sync.vms.get(record.address)
            if self.list_sync.vms and (vm is None or vm.leaving):
                record.removed_by_platform = True
        else:
            self.prober.dead.pop(record.address, None)
        if not record.present:
            self.prober.broken_links.pop(record.address, None)

    def sweep(self, now_ms: int) -> None:
        """Forget members that have been gone for long."""
        for record in list(self.table.records.values()):
            if not record.present and now_ms - record.status_ms >= TOMBSTONE_MS:
                self.table.remove(record.address)
                self.prober.dead.pop(record.address, None)
                vm = self.list_sync.vms.get(record.address)
                if vm is not None and not vm.leaving:
                    self.prober.uncontacted[record.address] = None

    def withdraw(self, addresses: list[str], now_ms: int) -> None:
        """End suspicions without a verdict; probes raise those that hold again."""
        for address in addresses:
            record = self.table.get(address)
            if record is not None and record.status is Status.SUSPECT:
                self.queue.discard_subject(address)
                self.table.set_status(record, Status.ALIVE, record.incarnation, now_ms)
            self.suspicions.end(address)
