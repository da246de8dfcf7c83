from random import Random

import pytest
from result import Err, Ok

from medlarridge._internal.coordination.lease import LEASE_MS, Lease, LeaseRecord
from medlarridge._internal.errors import StoreErrorKind
from medlarridge._internal.identity import Instance, Role
from medlarridge._internal.state.memory import StoreFault
from medlarridge_standins.lease_trial import KEY, Contest
from medlarridge_standins.ledger_trial import finish_now


class TestLease:
    def test_one_of_two_contenders_acquires_and_keeps_the_lease(self):
        """Guards against two holders and against a needless change of the holder."""
        contest = Contest()
        contest.run(1000)
        assert contest.holders() == [1]
        for _ in range(120):
            contest.run(1000)
            assert contest.holders() == [1]

    def test_lease_expires_while_the_holder_is_paused(self):
        """Guards against a lease without holder and a repeated fencing number."""
        contest = Contest()
        contest.run(1000)
        contest.run(3 * LEASE_MS, paused=(0,))
        assert not contest.leases[0].is_held()
        assert contest.leases[1].is_held()
        assert contest.leases[1].fencing == 2
        contest.run(2 * LEASE_MS)
        assert contest.leases[0].fencing == 0
        assert contest.holders() == [2]

    def test_no_takeover_while_the_holder_relies_on_the_lease(self):
        """Guards against two processes that both consider themselves the holder."""
        contest = Contest()
        contest.run(1000)
        for _ in range(3 * LEASE_MS // 100):
            contest.run(100, paused=(0,))
            assert len(contest.holders()) <= 1
        assert contest.holders() == [2]

    @pytest.mark.parametrize("fault", list(StoreFault))
    def test_any_fault_of_any_store_call(self, fault):
        """Guards against two holders or a lower fencing number after a lost reply."""
        for ordinal in range(1, 20):
            contest = Contest()
            contest.store.faults = {ordinal: fault}
            highest = 0
            for _ in range(60):
                contest.run(500)
                holders = contest.holders()
                assert len(holders) <= 1
                assert all(fencing >= highest for fencing in holders)
                highest = max([highest, *holders])
            assert contest.holders() == [1]

    def test_survives_an_outage_without_a_second_holder(self):
        """Guards against two holders when the store returns after a long outage."""
        contest = Contest(3)
        contest.run(1000)
        contest.store.available = False
        contest.run(4 * LEASE_MS)
        assert contest.holders() == []
        contest.store.available = True
        contest.run(2 * LEASE_MS)
        assert len(contest.holders()) == 1

    def test_resigned_lease_is_acquired_at_once_with_a_higher_number(self):
        """Guards against waiting for expiry after a graceful shutdown."""
        contest = Contest()
        contest.run(1000)
        contest.leases[0].resign()
        contest.run(7000)
        assert contest.holders() == [2]

    def test_new_start_at_the_same_address_is_not_the_holder(self):
        """Guards against a restarted process that keeps its old fencing number."""
        contest = Contest(1)
        contest.run(1000)
        instance = contest.leases[0].instance
        successor = Instance(instance.address, 99, "anfa", "west", Role.SIDECAR)
        lease = Lease("orders", successor, contest.clocks[0], Random(1))
        contest.leases[0] = lease
        contest.run(1000)
        assert lease.fencing == 0
        contest.run(2 * LEASE_MS)
        assert lease.fencing == 2

    def test_paused_holder_cannot_overwrite_its_successor(self):
        """Guards against a delayed renewal that takes effect after a takeover."""
        contest = Contest()
        contest.run(1000)
        lease = contest.leases[0]
        contest.clocks[0].advance(10_000)
        late_put = lease.next_step()
        contest.run(3 * LEASE_MS, paused=(0,))
        result = finish_now(
            contest.store.put(KEY, late_put.value, late_put.expected_version)
        )
        assert isinstance(result, Err)
        assert result.err_value.kind is StoreErrorKind.CONFLICT
        lease.on_result(late_put, result)
        contest.run(2000)
        assert contest.holders() == [2]

    def test_malformed_object_is_not_overwritten(self):
        """Guards against restarting the fencing numbers if the object is unreadable."""
        contest = Contest(1)
        assert isinstance(finish_now(contest.store.put(KEY, b"\xc1", 0)), Ok)
        contest.run(LEASE_MS)
        assert contest.leases[0].record == LeaseRecord()
        assert contest.store.objects[KEY].value == b"\xc1"
