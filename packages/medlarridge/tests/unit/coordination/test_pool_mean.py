from random import Random

import msgspec
import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.load_bound import STALE_AFTER_MS
from medlarridge._internal.coordination.pool_mean import (
    FAN_OUT,
    POSITION_RANGE,
    MeanReply,
    MeanRequest,
    PoolMean,
)
from medlarridge_standins.measure.pool_mean_cost import PoolMeanModel


def make_model(size):
    return PoolMeanModel(size, loss=0.0, varying_loads=False)


def estimates(model):
    alive = [n.mean.estimate() for n in model.nodes.values() if n.alive]
    return [e for e in alive if e is not None and e.age_ms <= STALE_AFTER_MS]


class TestPoolMean:
    @pytest.mark.parametrize("size", [1, 2, 10, 150])
    def test_all_members_learn_the_exact_mean(self, size):
        """Guards against members that are counted twice or not at all."""
        model = make_model(size)
        model.run(3000)
        assert len(estimates(model)) == size
        for estimate in estimates(model):
            assert estimate.mean == round(model.true_mean())
            assert estimate.age_ms <= 1100

    def test_members_that_disagree_on_the_list_count_nobody_twice(self):
        """Guards against a wrong mean while member lists differ for some seconds."""
        model = make_model(60)
        addresses = list(model.nodes)
        for index, node in enumerate(model.nodes.values()):
            # A third of the nodes lack three members each.
            unknown = addresses[index : index + 3] if index % 3 == 0 else []
            node.mean.set_members(a for a in addresses if a not in unknown)
        counted = []
        for node in model.nodes.values():
            finish = node.mean.publish_root

            def publish_root(number, current, finish=finish):
                counted.append(current.members)
                return finish(number, current)

            node.mean.publish_root = publish_root
        model.run(5000)
        assert counted
        assert max(counted) <= 60
        assert min(counted) >= 54

    @pytest.mark.parametrize("lost", [1, 2, 20])
    def test_survives_dead_members(self, lost):
        """Guards against losing the mean when the roots or a third of the pool die."""
        model = make_model(60)
        model.run(3000)
        orders = next(iter(model.nodes.values())).mean.orders
        roots = list(dict.fromkeys(order[0][1] for order in orders))
        others = [a for a in model.nodes if a not in roots]
        for address in [*roots, *others][:lost]:
            model.nodes[address].alive = False
        model.run(6000)
        # The mean recovers from dead roots without a new member list. After a larger
        # loss some nodes may have a stale mean until they get the new list.
        alive = [a for a, n in model.nodes.items() if n.alive]
        if lost <= 2:
            assert len(estimates(model)) == len(alive)
        for node in model.nodes.values():
            node.mean.set_members(alive)
        model.run(2500)
        assert len(estimates(model)) == len(alive)
        for estimate in estimates(model):
            assert estimate.mean == pytest.approx(model.true_mean(), abs=2)

    def test_mean_goes_stale_when_most_of_the_pool_is_unreachable(self):
        """Guards against an isolated minority that uses its own load as the mean."""
        model = make_model(30)
        model.run(3000)
        for node in list(model.nodes.values())[:20]:
            node.alive = False
        model.run(STALE_AFTER_MS + 1500)
        assert estimates(model) == []

    def test_a_node_without_a_member_list_replies_but_starts_no_round(self):
        """Guards against a new sidecar that fails on its first request, or uses its own
        load as the mean.
        """
        clock = ManualClock()
        mean = PoolMean("a", clock, Random(1))
        clock.advance(10_000)
        assert mean.tick() == []
        reply = mean.receive(MeanRequest(0, 1, 0, POSITION_RANGE, 100), "b")[0]
        assert (reply.address, reply.message.members) == ("b", 1)

    def test_a_repeated_request_gets_zero_sums(self):
        """Guards against a member that two parents count in the same round."""
        clock = ManualClock()
        mean = PoolMean("a", clock, Random(1))
        mean.set_members(["a"])
        mean.tokens = 500
        request = MeanRequest(0, 1, 0, POSITION_RANGE, 100)
        first = mean.receive(request, "b")[0].message
        second = mean.receive(request, "c")[0].message
        assert (first.load, first.members) == (500, 1)
        assert (second.load, second.weight, second.members) == (0, 0.0, 0)

    def test_late_and_unexpected_replies_are_ignored(self):
        """Guards against counting forged replies or replies of another round."""
        mean = PoolMean("a", ManualClock(), Random(1))
        mean.set_members(["a", "b"])
        mean.receive(MeanRequest(0, 1, 0, POSITION_RANGE, 100), "root")
        assert mean.receive(MeanReply(1, 9000, 1, 1.0, 1), "stranger") == []
        assert mean.receive(MeanReply(2, 9000, 1, 1.0, 1), "b") == []
        reply = mean.receive(MeanReply(1, 100, 1, 1.0, 1), "b")[0]
        assert (reply.address, reply.message.load) == ("root", 100)
        assert mean.receive(MeanReply(1, 100, 1, 1.0, 1), "b") == []

    def test_rate_and_size_do_not_grow_with_the_pool(self):
        """Guards against control traffic that grows with the fleet."""
        model = make_model(300)
        model.run(3000)
        model.reset_counters()
        model.run(10_000)
        # Per round a node sends at most one reply, and one request and one result for
        # each child.
        per_round = 1 + 2 * FAN_OUT
        assert (
            max(n.sent for n in model.nodes.values()) <= 10 * 2 * per_round + per_round
        )
        request = MeanRequest(
            1, 2**32 - 1, 2**32 - 1, 2**32 - 1, 280, 2**31, 2**20, 3000
        )
        assert len(msgspec.msgpack.encode(request)) < 48
