import math
from random import Random

import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.outlier import (
    MIN_EJECTION_MS,
    LatencyHistogram,
    OutlierDetector,
    PoolLatency,
    ServerState,
    Signal,
)


class TestOutlierDetector:
    def setup_method(self):
        self.clock = ManualClock()
        self.detector = OutlierDetector(self.clock, Random(1))
        self.servers = [f"s{number}" for number in range(10)]

    def run(self, seconds, slow, factor=4.0, signal=Signal.BETWEEN_TOKENS):
        changes = []
        for _ in range(seconds):
            self.clock.advance(1_000)
            for server in self.servers:
                ratio = factor if server in slow else 1.0
                first = 200 * (ratio if signal is Signal.FIRST_TOKEN else 1.0)
                between = 26 * (ratio if signal is Signal.BETWEEN_TOKENS else 1.0)
                for _ in range(2):
                    if self.detector.accepts(server):
                        self.detector.record(server, first, between)
            changes += self.detector.evaluate()
        return changes

    @pytest.mark.parametrize("signal", list(Signal))
    def test_ejects_probes_and_readmits(self, signal):
        """Guards against a slow server that keeps getting its share of requests."""
        changes = self.run(15, {"s3"}, signal=signal)
        assert [(each.server, each.state) for each in changes] == [
            ("s3", ServerState.EJECTED)
        ]
        assert changes[0].signal is signal
        assert not self.detector.accepts("s3")
        self.clock.advance(MIN_EJECTION_MS)
        states = [each.state for each in self.run(400, set())]
        assert states == [ServerState.PROBING, ServerState.HEALTHY]

    def test_probes_a_server_that_stays_slow_less_often(self):
        """Guards against readmitting a slow server only because time has passed."""
        changes = self.run(1_500, {"s3"})
        assert ServerState.HEALTHY not in {each.state for each in changes}
        # With waits of 10, 20, 40, 80 and then 120 s there are 14 cycles of two changes
        # in 1,500 s. Without doubling there would be about 75 cycles.
        assert 20 <= len(changes) <= 30
        assert self.detector.records["s3"].ejection_ms > MIN_EJECTION_MS

    def test_never_ejects_more_than_the_allowed_share(self):
        """Guards against overloading the remaining servers when several are slow."""
        self.run(30, {"s1", "s2", "s3", "s4"})
        ejected = [each for each in self.servers if not self.detector.accepts(each)]
        assert len(ejected) == 2

    @pytest.mark.parametrize("factor", [1.0, 2.0])
    def test_does_not_eject_within_normal_variation(self, factor):
        """Guards against ejecting servers within the hysteresis band."""
        assert self.run(60, {"s1", "s2"}, factor) == []

    def test_a_short_delay_does_not_eject(self):
        """Guards against ejecting a server because of one long prefill."""
        self.run(20, set())
        assert self.run(2, {"s1"}) + self.run(20, set()) == []

    def test_sidecar_compares_its_own_server_with_the_pool(self):
        """Guards against undetected slow servers when routers see too few responses."""
        histogram = LatencyHistogram()
        for _ in range(400):
            histogram.add(math.log(26))
        other = LatencyHistogram()
        other.add(math.log(104))
        histogram.merge(other.counts)
        median = histogram.median()
        assert math.exp(median) == pytest.approx(26, rel=0.1)
        self.servers = ["own"]
        for excluded, expected in ((80, []), (79, [ServerState.EJECTED])):
            pool = PoolLatency({Signal.BETWEEN_TOKENS: median}, 401, excluded)
            states = []
            for _ in range(10):
                self.clock.advance(1_000)
                for _ in range(4):
                    self.detector.record("own", None, 104)
                states += [each.state for each in self.detector.evaluate(pool)]
            assert states == expected
