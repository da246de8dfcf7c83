"""Membership by probing, suspicion and gossip; does no I/O."""

from collections.abc import Iterable
from random import Random

import msgspec

from ..clock import Clock
from ..events import register
from ..identity import Member, Role
from ..log import log_event
from ..protocol.gossip import (
    Ack,
    BucketRequest,
    DataCentreUpdate,
    DigestReply,
    DigestRequest,
    ExchangeReply,
    ExchangeRequest,
    GossipMessage,
    MemberPage,
    MemberPageRequest,
    MemberRecord,
    Ping,
    PingRequest,
    RelayedAck,
    Status,
    StatusUpdate,
    Update,
)
from .data_centre_monitor import DataCentreMonitor
from .member_events import (
    Action,
    Fetch,
    ListedVm,
    NewerGeneration,
    Observation,
    Send,
)
from .member_list_sync import MemberListSync
from .member_status import HOLD_DOWN_MS, StatusTracker
from .member_table import MemberTable, Record
from .outbox import Outbox, status_update_of
from .probing import Probe, Prober, Purpose
from .suspicions import Suspicions

PROBE_INTERVAL_MS = 1000
LINK_FAILURE_THRESHOLD = 3
"""Number of consecutive probes answered only through peers after which a direct link
is considered failed. At 1% loss, one in 50 probes gets no direct answer."""
RELAY_COUNTS = {Purpose.ROUTINE: 3, Purpose.RECOVERY: 1, Purpose.VERIFY: 1}
"""Number of peers asked for an indirect probe. A verification probes several members
of the data centre, so one peer for each of them is enough."""
MIN_PAUSE_MS = 3000
CLEANUP_INTERVAL_MS = 60_000
CUT_OFF_PROBE_FAILURES = 3
"""Number of consecutive failed routine probes after which this process considers itself
cut off. With a quarter of the fleet down, three consecutive probes fail by chance in
1.6% of cases, which only delays the decision about suspected members."""
STATUS_PUSH_RESERVE = 2

MEMBER_SUSPECTED = register(4000, "INFO", "member is suspected")
DATA_CENTRE_DOWN = register(4004, "ERROR", "data centre is unreachable")
DATA_CENTRE_UP = register(4005, "WARNING", "data centre is reachable again")
SELF_REFUTED = register(4006, "WARNING", "refuted a false status of this process")
CUT_OFF = register(4007, "ERROR", "this process is cut off from its peers")
RECONNECTED = register(4008, "WARNING", "this process reaches its peers again")
PAUSED = register(4009, "WARNING", "this process was paused")
JOINED = register(4010, "INFO", "joined the fleet")


class Membership:
    """Members of the fleet as seen by one process.

    Methods that handle events return the actions that the caller performs.
    ``incarnation`` must increase with each start, as seconds since the epoch do.
    Statements about an address are ordered by it, so that a restarted process replaces
    the previous instance.
    """

    def __init__(
        self, member: Member, clock: Clock, random: Random, incarnation: int = 1
    ) -> None:
        self.clock = clock
        self.random = random
        self.address = member.instance.address
        self.number = member.instance.number
        self.table = MemberTable()
        own = Record(member, incarnation, Status.ALIVE, clock.now_ms())
        self.table.store(own)
        self.prober = Prober(self.table, random, self.address)
        self.data_centre_monitor = DataCentreMonitor(
            self.table, random, member.instance.data_centre, self.address
        )
        self.outbox = Outbox(self.table, self.prober, own)
        self.update_queue = self.outbox.update_queue
        self.leaving = False
        self.suspicions = Suspicions()
        self.consecutive_failures = 0
        now_ms = clock.now_ms()
        self.last_tick_ms = now_ms
        self.list_sync = MemberListSync(
            self.table, random, self.address, member.instance.region, now_ms
        )
        self.status_tracker = StatusTracker(
            self.table, self.prober, self.suspicions, self.list_sync, self.update_queue
        )
        self.next_probe_ms = now_ms + random.randrange(PROBE_INTERVAL_MS)
        self.next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS
        self.data_centre_hold_until_ms: dict[str, int] = {}
        self.update_queue.put(own.announcement())

    # Queries.

    @property
    def own_record(self) -> Record:
        """Return the record of this process."""
        return self.outbox.own_record

    @property
    def generation(self) -> int:
        """Return the generation of the configuration sent in messages."""
        return self.outbox.generation

    @generation.setter
    def generation(self, generation: int) -> None:
        self.outbox.generation = generation

    @property
    def revision(self) -> int:
        """Return a number that changes whenever a member list may have changed."""
        return self.table.revision

    @property
    def size(self) -> int:
        """Return the number of running members, this process included."""
        return self.table.present_count

    @property
    def synchronised(self) -> bool:
        """Return whether the whole member list of a peer has been applied."""
        return self.list_sync.synchronised

    @property
    def cut_off(self) -> bool:
        """Return whether this process seems to be cut off from its peers."""
        return self.consecutive_failures >= CUT_OFF_PROBE_FAILURES

    def members_of(self, pool: str) -> list[Member]:
        """Return the members of a pool, sorted by address.

        Suspected and draining members are included. The list is cached and must not
        be modified. It contains at least half of the known members of the pool.
        """
        return self.table.view(pool).members

    def usable_members_of(self, pool: str) -> list[Member]:
        """Return the members of a pool that may get new work."""
        return self.table.view(pool).usable

    def routers(self) -> list[Member]:
        """Return the routers, which belong to no pool."""
        return [m for m in self.members_of("") if m.instance.role is Role.ROUTER]

    def is_usable(self, member: Member) -> bool:
        """Return whether the member may get new work from this process."""
        record = self.table.get(member.instance.address)
        if record is None or record.number != member.instance.number:
            return False
        self.table.view(record.member.pool)
        return record.usable

    def is_stable(self, member: Member) -> bool:
        """Return whether the member has not flapped within the last 30 s."""
        record = self.table.get(member.instance.address)
        if record is None or record.number != member.instance.number:
            return False
        held_until_ms = max(
            record.hold_until_ms,
            self.data_centre_hold_until_ms.get(record.data_centre, -1),
        )
        return self.clock.now_ms() >= held_until_ms

    def find(self, address: str) -> Member | None:
        """Return the current member at an address."""
        record = self.table.get(address)
        return record.member if record and record.present else None

    def random_peers(self, count: int) -> list[str]:
        """Return addresses of random running members."""
        return [r.address for r in self.prober.random_members(count)]

    # Events.

    def set_self(
        self, draining: bool | None = None, weight: float | None = None
    ) -> list[Action]:
        """Change the announced record of this process and push it to some peers."""
        member = self.own_record.member
        changed = msgspec.structs.replace(
            member,
            draining=member.draining if draining is None else draining,
            weight=member.weight if weight is None else weight,
        )
        if changed == member:
            return []
        return self.outbox.announce(
            changed, self.own_record.incarnation + 1, self.clock.now_ms()
        )

    def leave(self) -> list[Action]:
        """Announce that this process is shutting down.

        The announcement does not wait for the next probe, which a process that ends
        may not send any more.
        """
        self.leaving = True
        status_update = StatusUpdate(
            self.address, self.number, self.own_record.incarnation, Status.LEFT
        )
        self.update_queue.put(status_update)
        return self.outbox.push(status_update)

    def push(self) -> list[Action]:
        """Push the configuration generation to random peers at once."""
        return self.outbox.push()

    def tick(self) -> list[Action]:
        """Run everything that is due; call this about every 250 ms."""
        now_ms = self.clock.now_ms()
        if now_ms - self.last_tick_ms >= MIN_PAUSE_MS:
            self.resume_after_pause(now_ms)
        self.last_tick_ms = now_ms
        actions: list[Action] = []
        to_relay, failed = self.prober.take_expired(now_ms)
        for probe in to_relay:
            actions += self.probe_indirectly(probe)
        for probe in failed:
            actions += self.probe_failed(probe, now_ms)
        actions += self.expire_suspicions(now_ms)
        if now_ms >= self.next_probe_ms:
            self.next_probe_ms = max(self.next_probe_ms, now_ms - PROBE_INTERVAL_MS)
            self.next_probe_ms += PROBE_INTERVAL_MS
            actions += self.probe_next(now_ms)
        for address in self.list_sync.contacts(now_ms):
            probe = self.prober.start_probe(address, Purpose.CONTACT, now_ms)
            actions.append(self.outbox.ping(probe))
        if now_ms >= self.next_cleanup_ms:
            self.next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS
            self.status_tracker.remove_tombstones(now_ms)
        return actions

    def receive(self, source: str, message: GossipMessage) -> list[Action]:
        """Handle a datagram from the process at ``source``."""
        if source == self.address:
            return []
        now_ms = self.clock.now_ms()
        actions: list[Action] = []
        if message.generation > self.generation:
            actions.append(NewerGeneration(source, message.generation))
        actions += self.record_heard(source, message.number, now_ms)
        for update in message.updates:
            actions += self.apply(update, source)
        if isinstance(message, Ping):
            actions.append(self.outbox.ack(source, message))
        elif isinstance(message, Ack):
            actions += self.receive_ack(source, message, now_ms)
        elif isinstance(message, PingRequest):
            actions += self.relay(source, message, now_ms)
        elif isinstance(message, RelayedAck):
            actions += self.receive_relayed(message, now_ms)
        if isinstance(message, Ping | Ack) and self.list_sync.should_compare(
            message.digest, now_ms
        ):
            actions.append(Fetch(source, DigestRequest()))
        return actions

    def update_vm_list(self, vms: Iterable[ListedVm]) -> None:
        """Apply the platform's VM list, which may be out of date.

        The list provides contacts and shows which dead members were removed on
        purpose. It does not affect running members, except that those on VMs being
        removed get no new work.
        """
        previous, listed = self.list_sync.vms, {vm.address: vm for vm in vms}
        self.list_sync.vms = listed
        for address, vm in listed.items():
            if address == self.address:
                continue
            record = self.table.get(address)
            if record is None:
                if not vm.leaving:
                    self.prober.uncontacted_addresses[address] = None
                continue
            before = previous.get(address)
            if before is None or before.leaving != vm.leaving:
                self.status_tracker.set_removed_by_platform(record, vm.leaving)
        for address in previous.keys() - listed.keys():
            self.prober.uncontacted_addresses.pop(address, None)
            record = self.table.get(address)
            if record is not None and not record.present:
                self.status_tracker.set_removed_by_platform(record, True)

    def observe(self, member: Member, observation: Observation) -> None:
        """Apply an observation of a member by the data path."""
        record = self.table.get(member.instance.address)
        if record is None or record.number != member.instance.number:
            return
        if observation is Observation.ANSWERED:
            record.last_heard_ms = self.clock.now_ms()
            self.status_tracker.set_link_failed(record, failed=False)
        elif observation is Observation.REFUSED:
            self.status_tracker.set_link_failed(record, failed=True)
            self.prober.prioritise(record.address)
        elif not record.draining_seen:
            record.draining_seen = True
            self.table.invalidate(record.member.pool)

    def receive_reply(self, fetch: Fetch, reply: ExchangeReply | None) -> list[Action]:
        """Handle the reply to a ``Fetch``, or None if the request failed."""
        request = fetch.request
        if isinstance(request, MemberPageRequest):
            return self.receive_page(fetch.address, request, reply)
        if isinstance(request, DigestRequest) and isinstance(reply, DigestReply):
            next_request = self.list_sync.sync_request(reply, self.clock.now_ms())
            return [] if next_request is None else [Fetch(fetch.address, next_request)]
        if isinstance(request, BucketRequest) and isinstance(reply, MemberPage):
            return self.apply_page(fetch.address, reply)
        return []

    def serve(self, request: ExchangeRequest) -> ExchangeReply | None:
        """Return the reply to a request about members, or None for other requests."""
        if isinstance(request, MemberPageRequest):
            return self.table.page(request.after)
        if isinstance(request, DigestRequest):
            return DigestReply(self.table.digest_bytes())
        if isinstance(request, BucketRequest):
            return self.table.bucket_page(request.buckets)
        return None

    # Probing.

    def probe_next(self, now_ms: int) -> list[Action]:
        """Send the next routine or recovery probe."""
        target = self.prober.next_target()
        if target is None:
            return []
        return [self.outbox.ping(self.prober.start_probe(*target, now_ms))]

    def probe_indirectly(self, probe: Probe) -> list[Action]:
        """Ask peers to probe a member that has not answered directly."""
        relays = RELAY_COUNTS.get(probe.purpose, 0)
        request = PingRequest(
            probe.sequence, self.number, probe.address, probe.number, self.generation
        )
        return [
            Send(relay.address, request)
            for relay in self.prober.random_members(relays, probe.address)
        ]

    def probe_failed(self, probe: Probe, now_ms: int) -> list[Action]:
        """Handle a probe that got neither a direct nor an indirect answer."""
        reachable = self.data_centre_monitor.finish_probe(
            probe.sequence, answered=False
        )
        actions = self.apply_verification(probe.data_centre, reachable, now_ms)
        if probe.purpose is not Purpose.ROUTINE:
            return actions
        self.consecutive_failures += 1
        if self.consecutive_failures == CUT_OFF_PROBE_FAILURES:
            log_event(CUT_OFF, failed_probes=self.consecutive_failures)
        record = self.table.get(probe.address)
        if (
            record is not None
            and record.number == probe.number
            and record.status is Status.ALIVE
            and record.data_centre not in self.table.down_data_centres
        ):
            actions += self.suspect(
                record, record.incarnation, now_ms, raised_locally=True
            )
            status_update = status_update_of(record)
            actions.append(
                Send(record.address, self.outbox.push_message(status_update))
            )
        return actions

    def receive_ack(self, source: str, message: Ack, now_ms: int) -> list[Action]:
        """Handle an ack that arrived directly from the probed member."""
        probe = self.prober.outstanding.get(message.sequence)
        if probe is None or probe.address != source:
            return []
        del self.prober.outstanding[probe.sequence]
        actions: list[Action] = []
        if not message.known:
            announcement = self.own_record.announcement()
            actions.append(Send(source, self.outbox.push_message(announcement)))
        if probe.purpose is Purpose.RELAY:
            answer = RelayedAck(
                probe.relay_sequence,
                self.number,
                source,
                message.number,
                self.generation,
            )
            return [*actions, Send(probe.relay_to, answer)]
        record = self.table.get(source)
        if record is not None:
            record.missed_direct_answers = 0
            self.status_tracker.set_link_failed(record, failed=False)
        actions += self.probe_answered(probe, now_ms)
        if probe.purpose is Purpose.CONTACT:
            request = self.list_sync.start_fetch()
            if request is not None:
                actions.append(Fetch(source, request))
        return actions

    def receive_relayed(self, message: RelayedAck, now_ms: int) -> list[Action]:
        """Handle an ack that arrived through a peer."""
        probe = self.prober.outstanding.get(message.sequence)
        if probe is None or probe.address != message.address:
            return []
        del self.prober.outstanding[probe.sequence]
        record = self.table.get(probe.address)
        if record is not None and record.number == message.responder_number:
            record.last_heard_ms = now_ms
            record.missed_direct_answers += 1
            self.status_tracker.set_link_failed(
                record, record.missed_direct_answers >= LINK_FAILURE_THRESHOLD
            )
            self.prober.prioritise(record.address)
        return self.probe_answered(probe, now_ms)

    def probe_answered(self, probe: Probe, now_ms: int) -> list[Action]:
        """Handle a direct or relayed answer to a probe of this process."""
        if self.cut_off:
            self.reconnect()
        self.consecutive_failures = 0
        reachable = self.data_centre_monitor.finish_probe(probe.sequence, answered=True)
        if (
            probe.purpose is Purpose.RECOVERY
            and probe.data_centre in self.table.down_data_centres
        ):
            return self.verify(probe.data_centre, now_ms)
        return self.apply_verification(probe.data_centre, reachable, now_ms)

    def relay(self, source: str, message: PingRequest, now_ms: int) -> list[Action]:
        """Probe a member on behalf of a peer."""
        if message.address == self.address:
            return []
        record = self.table.get(message.address)
        probe = self.prober.start_probe(
            record or message.address, Purpose.RELAY, now_ms
        )
        probe.number = message.target
        probe.relay_to, probe.relay_sequence = source, message.sequence
        return [self.outbox.ping(probe)]

    # Status of members.

    def record_heard(self, source: str, number: int, now_ms: int) -> list[Action]:
        """Record that a datagram from a member arrived."""
        record = self.table.get(source)
        if record is None or record.number != number:
            return []
        record.last_heard_ms = now_ms
        if record.data_centre in self.table.down_data_centres:
            return self.verify(record.data_centre, now_ms)
        return []

    def apply(self, update: Update, source: str, spread: bool = True) -> list[Action]:
        """Apply an update."""
        if isinstance(update, DataCentreUpdate):
            is_down = update.data_centre in self.table.down_data_centres
            if update.reachable == is_down:
                return self.verify(update.data_centre, self.clock.now_ms())
            return []
        if isinstance(update, MemberRecord):
            if update.member.instance.address == self.address:
                return self.refute(
                    update.member.instance.number, update.incarnation, update.status
                )
            return self.apply_member_record(update, source, spread)
        if update.address == self.address:
            return self.refute(update.number, update.incarnation, update.status)
        return self.apply_status_update(update, source, spread)

    def refute(self, number: int, incarnation: int, status: Status) -> list[Action]:
        """Refute a statement that would override the record of this process."""
        own = self.own_record
        if number == own.number and (status is Status.ALIVE or self.leaving):
            return []
        if (incarnation, status, number) < own.precedence():
            return []
        log_event(SELF_REFUTED, status=status.name, incarnation=incarnation)
        return self.outbox.announce(own.member, incarnation + 1, self.clock.now_ms())

    def apply_member_record(
        self, update: MemberRecord, source: str, spread: bool
    ) -> list[Action]:
        """Apply the full record of another member."""
        now_ms = self.clock.now_ms()
        new = Record(update.member, update.incarnation, update.status, now_ms)
        old = self.table.get(new.address)
        if old is not None and new.precedence() <= old.precedence():
            return []
        if old is not None and old.number == new.number and not new.is_alive:
            return self.apply_status_update(status_update_of(new), source, spread)
        if old is not None:
            self.status_tracker.carry_over(new, old, now_ms)
        if old is None or not old.present:
            self.prober.add_member(new.address)
        self.suspicions.end(new.address)
        self.table.store(new)
        self.prober.uncontacted_addresses.pop(new.address, None)
        self.status_tracker.update_prober(new)
        if new.status is Status.SUSPECT:
            self.suspicions.begin(new, now_ms, raised_locally=False)
        if not spread:
            return []
        self.update_queue.put(update)
        if old is not None and is_urgent(old, new):
            return self.outbox.push_urgent(update, now_ms, source)
        return []

    def apply_status_update(
        self, update: StatusUpdate, source: str, spread: bool
    ) -> list[Action]:
        """Apply a change of status of another member."""
        record = self.table.get(update.address)
        if record is None or record.number != update.number:
            return []
        statement = (update.incarnation, update.status)
        if statement <= (record.incarnation, record.status):
            return []
        if (
            record.data_centre in self.table.down_data_centres
            and update.status is not Status.LEFT
        ):
            # The data centre is already marked down as a whole. If single members were
            # marked dead too, each would have to refute that when it returns.
            return []
        now_ms = self.clock.now_ms()
        if update.status is Status.SUSPECT:
            return self.suspect(record, update.incarnation, now_ms, spread)
        if update.status is Status.DEAD and self.status_tracker.heard_recently(
            record, now_ms
        ):
            return self.suspect(record, update.incarnation, now_ms, spread)
        self.status_tracker.mark_gone(record, update.status, update.incarnation, now_ms)
        if spread:
            self.update_queue.put(update)
            if update.status is Status.LEFT:
                return self.outbox.push_urgent(update, now_ms, source)
        return []

    def suspect(
        self,
        record: Record,
        incarnation: int,
        now_ms: int,
        spread: bool = True,
        raised_locally: bool = False,
    ) -> list[Action]:
        """Mark a member as suspected and start its refutation time."""
        if record.status is not Status.SUSPECT:
            log_event(MEMBER_SUSPECTED, member=record.address)
        self.table.set_status(record, Status.SUSPECT, incarnation, now_ms)
        self.suspicions.begin(record, now_ms, raised_locally)
        actions: list[Action] = []
        if spread:
            status_update = status_update_of(record)
            self.update_queue.put(status_update)
            actions += self.outbox.push_urgent(
                status_update, now_ms, reserve=STATUS_PUSH_RESERVE
            )
        name = record.data_centre
        if self.data_centre_monitor.needs_verification(
            name, self.suspicions.by_data_centre[name]
        ):
            actions += self.verify(name, now_ms)
        return actions

    def expire_suspicions(self, now_ms: int) -> list[Action]:
        """Mark members dead that did not refute their suspicion in time."""
        for address in self.suspicions.expired(now_ms):
            record = self.table.get(address)
            if record is None or record.status is not Status.SUSPECT:
                self.suspicions.end(address)
            elif self.cut_off or self.depends_on_data_centre(record):
                self.suspicions.restart(address, now_ms)
            elif self.status_tracker.heard_recently(record, now_ms):
                self.suspicions.end(address)
                self.table.set_status(record, Status.ALIVE, record.incarnation, now_ms)
            else:
                self.status_tracker.mark_gone(
                    record, Status.DEAD, record.incarnation, now_ms
                )
                self.update_queue.put(status_update_of(record))
        return []

    def depends_on_data_centre(self, record: Record) -> bool:
        """Return whether the status depends on that of the whole data centre."""
        name = record.data_centre
        return (
            name in self.table.down_data_centres
            or name in self.data_centre_monitor.running
        )

    # Unreachable data centres, and isolation or pauses of this process.

    def verify(self, name: str, now_ms: int) -> list[Action]:
        """Start to verify whether a data centre is reachable as a whole."""
        if not self.data_centre_monitor.should_verify(name, now_ms):
            return []
        verification = self.data_centre_monitor.start(name, now_ms)
        targets = [
            (r, Purpose.VERIFY)
            for r in self.data_centre_monitor.verification_targets(name)
        ]
        targets += [
            (r, Purpose.CONTROL) for r in self.data_centre_monitor.control_targets(name)
        ]
        actions: list[Action] = []
        for record, purpose in targets:
            probe = self.prober.start_probe(record, purpose, now_ms)
            # A control probe says nothing about the data centre of its target, so it
            # carries the name of the verified one.
            probe.data_centre = name
            self.data_centre_monitor.add_probe(
                verification, probe.sequence, purpose is Purpose.CONTROL
            )
            actions.append(self.outbox.ping(probe))
        return actions

    def apply_verification(
        self, name: str, reachable: bool | None, now_ms: int
    ) -> list[Action]:
        """Apply the result of the verification of a data centre."""
        if reachable is None or reachable == (name not in self.table.down_data_centres):
            return []
        if reachable:
            self.table.set_data_centre_down(name, False)
            self.data_centre_hold_until_ms[name] = now_ms + HOLD_DOWN_MS
            log_event(DATA_CENTRE_UP, data_centre=name)
        else:
            self.table.set_data_centre_down(name, True)
            # The status of the data centre replaces suspicions of single members.
            self.status_tracker.withdraw_suspicions(
                self.suspicions.in_data_centre(name), now_ms
            )
            log_event(DATA_CENTRE_DOWN, data_centre=name)
        self.list_sync.postpone(now_ms)
        update = DataCentreUpdate(name, reachable)
        self.update_queue.put(update)
        return self.outbox.push_urgent(update, now_ms)

    def reconnect(self) -> None:
        """Withdraw the suspicions that this process raised, after it was cut off."""
        raised = self.suspicions.raised_by_this_process()
        log_event(RECONNECTED, withdrawn=len(raised))
        now_ms = self.clock.now_ms()
        self.list_sync.postpone(now_ms)
        self.status_tracker.withdraw_suspicions(raised, now_ms)

    def resume_after_pause(self, now_ms: int) -> None:
        """Discard timers that expired while the process was paused."""
        log_event(PAUSED, pause_ms=now_ms - self.last_tick_ms)
        self.prober.outstanding.clear()
        self.data_centre_monitor.clear()
        self.suspicions.restart_all(now_ms)
        self.next_probe_ms = now_ms

    # Synchronisation of member lists.

    def receive_page(
        self, address: str, request: MemberPageRequest, reply: ExchangeReply | None
    ) -> list[Action]:
        """Apply a page of the member list and request the next one."""
        if not isinstance(reply, MemberPage):
            self.list_sync.fetching = False
            return []
        actions = self.apply_page(address, reply)
        next_request = self.list_sync.next_page(request, reply)
        if next_request is not None:
            return [*actions, Fetch(address, next_request)]
        if not self.synchronised:
            self.list_sync.synchronised = True
            self.list_sync.reset_intervals(self.clock.now_ms())
            self.update_queue.put(self.own_record.announcement())
            actions += self.outbox.push_urgent(
                self.own_record.announcement(), self.clock.now_ms()
            )
            log_event(JOINED, members=self.size)
        return actions

    def apply_page(self, address: str, page: MemberPage) -> list[Action]:
        """Apply the records of a page without spreading them further."""
        actions: list[Action] = []
        for record in page.records:
            actions += self.apply(record, address, spread=False)
        return actions


def is_urgent(old: Record, new: Record) -> bool:
    """Return whether the change must reach all members within seconds."""
    return old.status is not Status.ALIVE or old.member.draining != new.member.draining
