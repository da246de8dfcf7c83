from random import Random

import msgspec

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.member_events import (
    NewerGeneration,
    Observation,
    Send,
)
from medlarridge._internal.coordination.member_table import BUCKETS, MemberTable, Record
from medlarridge._internal.coordination.membership import Membership
from medlarridge._internal.coordination.outbox import MAX_PAYLOAD_BYTES
from medlarridge._internal.coordination.probing import Purpose
from medlarridge._internal.coordination.update_queue import UpdateQueue
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.protocol.gossip import (
    MAX_ADDRESS_BYTES,
    MAX_NAME_BYTES,
    MemberRecord,
    Ping,
    Push,
    Status,
    StatusUpdate,
    decode_gossip,
    encode,
)
from medlarridge_standins.simulated_fleet import POOL, SimulatedFleet


def member(index, number=None, **fields):
    instance = Instance(f"10.0.0.{index}:80", number or index, "a", "r", Role.SIDECAR)
    return Member(instance, POOL, **fields)


def observer(others=(), incarnation=5):
    clock = ManualClock()
    membership = Membership(member(1), clock, Random(1), incarnation)
    for other in others:
        membership.apply(MemberRecord(other, 5), "", spread=False)
    return membership, clock


def status_update(target, incarnation, status):
    address, number = target.instance.address, target.instance.number
    return StatusUpdate(address, number, incarnation, status)


class TestHoldDown:
    def is_stable_after_restart(self, **before):
        old, new = member(2, **before), member(2, number=99)
        membership, _ = observer([old])
        membership.apply(MemberRecord(new, 6), "")
        assert membership.find(new.instance.address) == new
        return membership.is_stable(new)

    def test_announced_restart_is_not_a_flap(self):
        """Guards against holding down engines in a rolling restart. They stay idle and
        lower the pool's mean, so that the other engines refuse work."""
        assert self.is_stable_after_restart(draining=True)

    def test_unannounced_restart_is_a_flap(self):
        """Guards against moving chats back to a server that keeps crashing."""
        assert not self.is_stable_after_restart()


class TestRefutation:
    def test_suspicion_of_this_process_is_refuted_at_once(self):
        """Guards against a working process that is declared dead."""
        membership, _ = observer([member(2), member(3)])
        actions = membership.apply(
            status_update(membership.own_record.member, 5, Status.SUSPECT),
            "10.0.0.2:80",
        )
        assert membership.own_record.incarnation == 6
        assert {a.address for a in actions} == {"10.0.0.2:80", "10.0.0.3:80"}
        assert all(a.message.updates for a in actions)

    def test_record_of_an_earlier_instance_at_the_own_address_is_overridden(self):
        """Guards against a new VM whose clock is behind its predecessor's clock."""
        membership, _ = observer()
        membership.apply(MemberRecord(member(1, number=99), 70), "10.0.0.2:80")
        assert membership.own_record.incarnation == 71
        assert membership.find("10.0.0.1:80") == membership.own_record.member

    def test_outdated_update_about_this_process_is_ignored(self):
        """Guards against endless refutations."""
        membership, _ = observer()
        assert not membership.apply(
            status_update(membership.own_record.member, 4, Status.DEAD), "10.0.0.2:80"
        )
        assert membership.own_record.incarnation == 5

    def test_own_departure_is_not_refuted(self):
        """Guards against a process that announces itself again while it shuts down."""
        membership, _ = observer()
        membership.leave()
        membership.apply(
            status_update(membership.own_record.member, 5, Status.LEFT), "x:1"
        )
        assert membership.own_record.incarnation == 5


class TestLeaving:
    def test_peers_are_told_at_once(self):
        """Guards against a process that peers only find missing after its shutdown, as
        its timers send no further probe that could carry the update."""
        membership, _ = observer([member(2), member(3)])
        actions = membership.leave()
        assert {action.address for action in actions} == {"10.0.0.2:80", "10.0.0.3:80"}
        peer = Membership(member(2), ManualClock(), Random(1), 5)
        peer.apply(membership.own_record.announcement(), "", spread=False)
        assert peer.find("10.0.0.1:80") is not None
        peer.receive("10.0.0.1:80", decode_gossip(encode(actions[0].message), "peer"))
        assert peer.find("10.0.0.1:80") is None


class TestStatements:
    def test_order_of_arrival_does_not_matter(self):
        """Guards against member lists that differ permanently between processes."""
        other = member(2)
        restarted = member(2, number=77)
        statements = [
            MemberRecord(other, 5),
            status_update(other, 5, Status.SUSPECT),
            MemberRecord(msgspec.structs.replace(other, draining=True), 6),
            status_update(other, 6, Status.DEAD),
            MemberRecord(restarted, 9),
        ]
        random = Random(3)
        for _ in range(50):
            membership, _ = observer()
            for statement in random.sample(statements, len(statements)):
                membership.apply(statement, "10.0.0.3:80")
            assert membership.find("10.0.0.2:80") == restarted

    def test_recently_heard_member_reported_dead_is_only_suspected(self):
        """Guards against an isolated process that declares members dead for others."""
        other = member(2)
        membership, clock = observer([other])
        membership.receive("10.0.0.2:80", Push(2, 0))
        membership.apply(status_update(other, 5, Status.DEAD), "10.0.0.3:80")
        record = membership.table.get("10.0.0.2:80")
        assert record.status is Status.SUSPECT
        clock.advance(6000)
        membership.apply(status_update(other, 5, Status.DEAD), "10.0.0.3:80")
        assert record.status is Status.DEAD

    def test_newer_generation_is_reported(self):
        """Guards against a node that misses an accepted configuration."""
        membership, _ = observer()
        actions = membership.receive("10.0.0.2:80", Push(2, 7))
        assert NewerGeneration("10.0.0.2:80", 7) in actions

    def test_ping_to_an_earlier_instance_gets_the_new_record(self):
        """Guards against messages meant for a previous instance."""
        membership, _ = observer()
        (answer,) = membership.receive(
            "10.0.0.2:80", Ping(1, 2, 5, target=42, generation=0, digest=0)
        )
        message = decode_gossip(encode(answer.message), "peer")
        assert message.number == membership.number
        assert message.updates[0].member == membership.own_record.member
        assert not message.known


class TestUsability:
    def test_lists_are_cached_until_something_changes(self):
        """Guards against a request path whose cost grows with the fleet."""
        other = member(2)
        membership, _ = observer([other, member(3)])
        before, revision = membership.members_of(POOL), membership.revision
        membership.observe(other, Observation.ANSWERED)
        assert membership.members_of(POOL) is before
        assert membership.revision == revision
        membership.observe(other, Observation.DRAINING)
        assert membership.revision > revision

    def test_member_that_refuses_connections_is_unusable_and_probed_next(self):
        """Guards against sending work to a server that refuses connections."""
        others = [member(index) for index in range(2, 9)]
        membership, clock = observer(others)
        membership.observe(others[4], Observation.REFUSED)
        assert not membership.is_usable(others[4])
        clock.advance(1000)
        sends = [a for a in membership.tick() if isinstance(a, Send)]
        assert sends[0].address == others[4].instance.address
        membership.observe(others[4], Observation.ANSWERED)
        assert membership.is_usable(others[4])

    def test_observation_of_an_earlier_instance_changes_nothing(self):
        """Guards against applying a late observation to the next instance."""
        membership, _ = observer([member(2, number=8), member(3), member(4)])
        membership.observe(member(2, number=7), Observation.DRAINING)
        assert membership.is_usable(member(2, number=8))
        assert not membership.is_usable(member(2, number=7))

    def test_pool_keeps_half_of_its_members(self):
        """Guards against an empty pool after many false failure reports."""
        others = [member(index) for index in range(2, 21)]
        membership, _ = observer(others)
        for other in others:
            membership.apply(status_update(other, 5, Status.DEAD), "10.0.0.99:80")
        assert len(membership.members_of(POOL)) == 10
        assert len(membership.usable_members_of(POOL)) >= 5

    def test_members_removed_by_the_platform_do_not_count_for_the_floor(self):
        """Guards against sending work to servers that were removed on purpose."""
        others = [member(index) for index in range(2, 21)]
        fleet = SimulatedFleet(1)
        fleet.add(0)
        membership, _ = observer(others)
        membership.update_vm_list(fleet.vm_list())
        for other in others:
            membership.apply(status_update(other, 5, Status.DEAD), "10.0.0.99:80")
        assert membership.members_of(POOL) == [membership.own_record.member]

    def test_leaving_state_of_a_vm_does_not_apply_to_the_next_instance(self):
        """Guards against an outdated VM list after an address is reused."""
        fleet = SimulatedFleet(1)
        old = fleet.add(2)
        membership, _ = observer([old.member])
        membership.update_vm_list(fleet.vm_list())
        membership.update_vm_list(fleet.vm_list(leaving=(old.address,)))
        assert not membership.is_usable(old.member)
        new = msgspec.structs.replace(
            old.member, instance=msgspec.structs.replace(old.member.instance, number=9)
        )
        membership.apply(MemberRecord(new, 8), "")
        membership.update_vm_list(fleet.vm_list(leaving=(old.address,)))
        assert membership.is_usable(new)


class TestUnreachableDataCentre:
    def test_status_of_single_members_does_not_outlast_an_outage(self):
        """Guards against members that stay dead after their data centre returns."""
        others = [member(index) for index in range(2, 8)]
        far = [
            msgspec.structs.replace(
                m, instance=msgspec.structs.replace(m.instance, data_centre="b")
            )
            for m in others
        ]
        membership, clock = observer(far)
        probe = membership.prober.start_probe(
            membership.table.get(far[0].instance.address), Purpose.ROUTINE, 0
        )
        membership.apply(status_update(far[1], 5, Status.SUSPECT), "")
        membership.apply_verification("b", False, 0)
        membership.apply(status_update(far[2], 5, Status.DEAD), "")
        membership.apply(status_update(far[3], 5, Status.SUSPECT), "")
        membership.probe_failed(probe, 0)
        assert membership.size == 1
        membership.apply_verification("b", True, 0)
        for _ in range(24):
            clock.advance(250)
            membership.expire_suspicions(clock.now_ms())
        assert membership.size == 7
        assert len(membership.usable_members_of(POOL)) == 7


class TestTrafficLimits:
    def test_every_datagram_fits_with_any_updates(self):
        """Guards against datagrams above 400 bytes, which would be dropped."""
        long = "x" * MAX_NAME_BYTES
        clock = ManualClock()
        address = "1" * (MAX_ADDRESS_BYTES - 3)
        membership = Membership(
            Member(Instance(address + ":80", 2**47, long, long, Role.SIDECAR), long),
            clock,
            Random(1),
            2**47,
        )
        for index in range(10, 99):
            instance = Instance(f"{address}:{index}", 2**47, long, long, Role.ROUTER)
            membership.apply(MemberRecord(Member(instance, long), 2**47), "")
        sizes = []
        for _ in range(200):
            clock.advance(250)
            sizes += [len(encode(a.message)) for a in membership.tick()]
        assert len(sizes) > 100
        assert max(sizes) <= MAX_PAYLOAD_BYTES

    def test_updates_are_sent_a_bounded_number_of_times(self):
        """Guards against updates that circulate forever."""
        queue = UpdateQueue()
        for index in range(2, 40):
            queue.put(status_update(member(index), 1, Status.DEAD))
        sent = 0
        while taken := queue.take(100, 50):
            sent += len(taken)
        assert sent == 38 * 8

    def test_urgent_updates_are_rate_limited(self):
        """Guards against a flapping member that exhausts the traffic budget."""
        membership, clock = observer([member(index) for index in range(2, 9)])
        sent = 0
        for round_number in range(100):
            actions = membership.set_self(draining=round_number % 2 == 0)
            sent += len(actions)
            clock.advance(10)
        assert 0 < sent <= 3 * 5

    def test_probe_rate_does_not_depend_on_the_number_of_members(self):
        """Guards against control traffic that grows with the fleet."""
        counts = []
        for size in (10, 200):
            fleet = SimulatedFleet(4)
            fleet.add_many(size)
            fleet.synchronise_members()
            fleet.run(20_000)
            counts.append(fleet.traffic.datagrams / size / 20)
        assert max(counts) < 1.2 * min(counts)


class TestMemberTable:
    def test_digest_is_equal_exactly_for_equal_lists(self):
        """Guards against differences between lists that no comparison detects."""
        random = Random(5)
        tables = []
        for _ in range(2):
            table = MemberTable()
            order = list(range(2, 200))
            random.shuffle(order)
            for index in order:
                table.store(Record(member(index), 1, Status.SUSPECT, 0))
                record = table.get(f"10.0.0.{index}:80")
                table.set_status(record, Status.ALIVE, 3, 0)
            tables.append(table)
        one, two = tables
        assert one.digest == two.digest
        assert not one.differing_buckets(two.digest_bytes())
        two.set_status(two.get("10.0.0.7:80"), Status.DEAD, 3, 0)
        assert one.digest != two.digest
        (bucket,) = one.differing_buckets(two.digest_bytes())
        assert "10.0.0.7:80" in one.buckets[bucket]
        assert one.differing_buckets(b"\0" * (4 * BUCKETS + 1)) == []

    def test_pages_cover_all_members_once(self):
        """Guards against members that a new process never learns about."""
        table = MemberTable()
        for index in range(700):
            table.store(Record(member(index, number=index + 1), 1, Status.ALIVE, 0))
        seen, after = [], ""
        while True:
            page = table.page(after)
            seen += [r.member.instance.address for r in page.records]
            after = page.next_after
            if not after:
                break
        assert sorted(seen) == sorted(table.records)
