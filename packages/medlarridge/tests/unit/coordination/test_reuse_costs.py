from medlarridge._internal.coordination.reuse_costs import ReuseCosts


class TestReuseCosts:
    def test_adapts_to_a_slow_network(self):
        """Guards against imports that take longer than the prefill they replace."""
        costs = ReuseCosts()
        assert costs.import_ms(5000) < costs.prefill_ms(5000)
        for _ in range(50):
            costs.observe_import(5000, 2000)
            costs.observe_prefill(5000, 500)
        assert costs.import_ms(5000) > costs.prefill_ms(5000)

    def test_ignores_unusable_observations(self):
        """Guards against a division by zero and rates derived from a few tokens."""
        costs = ReuseCosts()
        costs.observe_import(5000, 0)
        costs.observe_prefill(3, 100)
        costs.observe_prefill(5000, 0)
        assert costs == ReuseCosts()
