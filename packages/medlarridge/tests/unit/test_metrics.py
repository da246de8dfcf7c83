from medlarridge._internal.metrics import RouterMetrics


class Counts:
    def __init__(self):
        self.number = 3
        self.bytes = {"sent": 120, "received": 80}

    def generation(self):
        return self.number

    def control_bytes(self):
        return self.bytes


class TestProcessMetrics:
    def test_values_are_read_at_each_scrape(self):
        """Guards against an alarm on the generation or the control traffic that
        never fires because the metric stays 0."""
        metrics, counts = RouterMetrics(), Counts()
        metrics.observe_node(counts)
        counts.number = 4
        counts.bytes["sent"] = 150
        value = metrics.registry.get_sample_value
        assert value("medlarridge_configuration_generation") == 4
        name = "medlarridge_control_bytes_total"
        assert value(name, {"direction": "sent"}) == 150
        assert value(name, {"direction": "received"}) == 80
