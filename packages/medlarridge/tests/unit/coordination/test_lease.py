from random import Random

import pytest
from result import Err, Ok

from medlarridge._internal.coordination.lease import LEASE_MS, Lease, LeaseRecord
from medlarridge._internal.errors import StoreErrorKind
from medlarridge._internal.identity import Instance, Role
from medlarridge._internal.state.memory import StoreFault
from medlarridge_standins.lease_trial import LEASE_KEY, LeaseTrial
from medlarridge_standins.ledger_trial import run_synchronously


class TestLease:
    def test_one_of_two_contenders_acquires_and_keeps_the_lease(self):
        """Guards against two holders and against a needless change of the holder."""
        trial = LeaseTrial()
        trial.run(1000)
        assert trial.holders() == [1]
        for _ in range(120):
            trial.run(1000)
            assert trial.holders() == [1]

    def test_lease_expires_while_the_holder_is_paused(self):
        """Guards against a lease without holder and a repeated fencing number."""
        trial = LeaseTrial()
        trial.run(1000)
        trial.run(3 * LEASE_MS, paused=(0,))
        assert not trial.leases[0].is_held()
        assert trial.leases[1].is_held()
        assert trial.leases[1].fencing == 2
        trial.run(2 * LEASE_MS)
        assert trial.leases[0].fencing == 0
        assert trial.holders() == [2]

    def test_no_takeover_while_the_holder_relies_on_the_lease(self):
        """Guards against two processes that both consider themselves the holder."""
        trial = LeaseTrial()
        trial.run(1000)
        for _ in range(3 * LEASE_MS // 100):
            trial.run(100, paused=(0,))
            assert len(trial.holders()) <= 1
        assert trial.holders() == [2]

    @pytest.mark.parametrize("fault", list(StoreFault))
    def test_any_fault_of_any_store_call(self, fault):
        """Guards against two holders or a lower fencing number after a lost reply."""
        for ordinal in range(1, 20):
            trial = LeaseTrial()
            trial.store.faults = {ordinal: fault}
            highest = 0
            for _ in range(60):
                trial.run(500)
                holders = trial.holders()
                assert len(holders) <= 1
                assert all(fencing >= highest for fencing in holders)
                highest = max([highest, *holders])
            assert trial.holders() == [1]

    def test_survives_an_outage_without_a_second_holder(self):
        """Guards against two holders when the store returns after a long outage."""
        trial = LeaseTrial(3)
        trial.run(1000)
        trial.store.available = False
        trial.run(4 * LEASE_MS)
        assert trial.holders() == []
        trial.store.available = True
        trial.run(2 * LEASE_MS)
        assert len(trial.holders()) == 1

    def test_resigned_lease_is_acquired_at_once_with_a_higher_number(self):
        """Guards against waiting for expiry after a graceful shutdown."""
        trial = LeaseTrial()
        trial.run(1000)
        trial.leases[0].resign()
        trial.run(7000)
        assert trial.holders() == [2]

    def test_new_start_at_the_same_address_is_not_the_holder(self):
        """Guards against a restarted process that keeps its old fencing number."""
        trial = LeaseTrial(1)
        trial.run(1000)
        instance = trial.leases[0].instance
        successor = Instance(instance.address, 99, "anfa", "west", Role.SIDECAR)
        lease = Lease("orders", successor, trial.clocks[0], Random(1))
        trial.leases[0] = lease
        trial.run(1000)
        assert lease.fencing == 0
        trial.run(2 * LEASE_MS)
        assert lease.fencing == 2

    def test_paused_holder_cannot_overwrite_its_successor(self):
        """Guards against a delayed renewal that takes effect after a takeover."""
        trial = LeaseTrial()
        trial.run(1000)
        lease = trial.leases[0]
        trial.clocks[0].advance(10_000)
        late_put = lease.next_step()
        trial.run(3 * LEASE_MS, paused=(0,))
        result = run_synchronously(
            trial.store.put(LEASE_KEY, late_put.value, late_put.expected_version)
        )
        assert isinstance(result, Err)
        assert result.err_value.kind is StoreErrorKind.CONFLICT
        lease.on_result(late_put, result)
        trial.run(2000)
        assert trial.holders() == [2]

    def test_malformed_object_is_not_overwritten(self):
        """Guards against restarting the fencing numbers if the object is unreadable."""
        trial = LeaseTrial(1)
        assert isinstance(run_synchronously(trial.store.put(LEASE_KEY, b"\xc1", 0)), Ok)
        trial.run(LEASE_MS)
        assert trial.leases[0].record == LeaseRecord()
        assert trial.store.objects[LEASE_KEY].value == b"\xc1"
