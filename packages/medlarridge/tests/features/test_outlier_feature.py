from random import Random

from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.outlier import OutlierDetector

scenarios("outlier.feature")


class Pool:
    """Pool whose requests go to random servers that the outlier detector accepts."""

    def __init__(self, count, token_ms):
        self.clock = ManualClock()
        self.random = Random(2)
        self.detector = OutlierDetector(self.clock, Random(1))
        self.servers = [f"s{number}" for number in range(count)]
        self.token_ms = token_ms
        self.requests_by_second = []

    def run(self, duration_s, slow_server, slow_ms):
        for _ in range(duration_s):
            self.clock.advance(1_000)
            requests = dict.fromkeys(self.servers, 0)
            for _ in range(5 * len(self.servers)):
                ranking = self.random.sample(self.servers, len(self.servers))
                server = next(name for name in ranking if self.detector.accepts(name))
                requests[server] += 1
                token_ms = slow_ms if server == slow_server else self.token_ms
                token_ms *= self.random.lognormvariate(0, 0.3)
                self.detector.record(server, None, token_ms)
            self.detector.evaluate()
            self.requests_by_second.append(requests)


@given(
    parsers.parse("{count:d} servers that answer in {token_ms:d} ms a token"),
    target_fixture="pool",
)
def pool(count, token_ms):
    return Pool(count, token_ms)


@when(parsers.parse('server "{name}" takes {slow_ms:d} ms a token for {seconds:d} s'))
def server_slow(pool, name, slow_ms, seconds):
    pool.run(seconds, name, slow_ms)


@when(parsers.parse("all servers take {token_ms:d} ms a token for {seconds:d} s"))
def all_servers_alike(pool, token_ms, seconds):
    pool.run(seconds, "", token_ms)


@then(parsers.parse('in the last 20 s server "{name}" got at {bound} {share:f}'
                    " of an equal share"))  # fmt: skip
def check_share(pool, name, bound, share):
    requests = [second[name] for second in pool.requests_by_second[-20:]]
    total = sum(sum(second.values()) for second in pool.requests_by_second[-20:])
    actual = sum(requests) * len(pool.servers) / total
    assert actual <= share if bound == "most" else actual >= share
