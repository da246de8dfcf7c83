from random import Random

from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.outlier import OutlierDetector

scenarios("outlier.feature")


class Pool:
    def __init__(self, count, token_ms):
        self.clock = ManualClock()
        self.random = Random(2)
        self.detector = OutlierDetector(self.clock, Random(1))
        self.servers = [f"s{number}" for number in range(count)]
        self.token_ms = token_ms
        self.seconds = []

    def run(self, seconds, slow, slow_ms):
        for _ in range(seconds):
            self.clock.advance(1_000)
            sent = dict.fromkeys(self.servers, 0)
            for _ in range(5 * len(self.servers)):
                ranking = self.random.sample(self.servers, len(self.servers))
                server = next(each for each in ranking if self.detector.accepts(each))
                sent[server] += 1
                token_ms = slow_ms if server == slow else self.token_ms
                token_ms *= self.random.lognormvariate(0, 0.3)
                self.detector.record(server, None, token_ms)
            self.detector.evaluate()
            self.seconds.append(sent)


@given(
    parsers.parse("{count:d} servers that answer in {token_ms:d} ms a token"),
    target_fixture="pool",
)
def pool(count, token_ms):
    return Pool(count, token_ms)


@when(parsers.parse('server "{name}" takes {slow_ms:d} ms a token for {seconds:d} s'))
def slow(pool, name, slow_ms, seconds):
    pool.run(seconds, name, slow_ms)


@when(parsers.parse("all servers take {token_ms:d} ms a token for {seconds:d} s"))
def recover(pool, token_ms, seconds):
    pool.run(seconds, "", token_ms)


@then(parsers.parse('in the last 20 s server "{name}" got at {bound} {share:f}'
                    " of an equal share"))  # fmt: skip
def got(pool, name, bound, share):
    sent = [each[name] for each in pool.seconds[-20:]]
    total = sum(sum(each.values()) for each in pool.seconds[-20:])
    actual = sum(sent) * len(pool.servers) / total
    assert actual <= share if bound == "most" else actual >= share
