from random import Random
from types import SimpleNamespace

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.retry import Target
from medlarridge._internal.fleet import StaticFleet
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.protocol.tables import Tables
from medlarridge_router._internal.slow_servers import SlowServers

MEMBERS = [
    Member(Instance(f"server-{number}:1", 1, "dc", "r", Role.SIDECAR), "p")
    for number in range(6)
]


def answer(first_ms, between_ms, prompt_tokens=100):
    return SimpleNamespace(
        attempt=SimpleNamespace(prompt_tokens=prompt_tokens),
        started_ms=0,
        first_piece_ms=first_ms,
        mean_piece_interval_ms=lambda: between_ms,
    )


def run(slow, seconds=60, prompt_tokens=100):
    """Answer one request a second at each server; server 0 takes other times."""
    clock = ManualClock()
    servers = SlowServers(StaticFleet(Tables(), MEMBERS), clock, Random(1))
    for _ in range(seconds):
        for number, member in enumerate(MEMBERS):
            target = Target(member.instance.address, 1, "p", "dc")
            taken = slow if number == 0 else answer(200, 20)
            servers.record(target, taken)
        clock.advance(1_000)
        servers.evaluate()
    return servers.first_choice("p", MEMBERS)


class TestSlowServers:
    def test_a_slow_server_is_not_the_first_choice(self):
        """Guards against chats that stay at a server which answers but crawls."""
        assert run(answer(200, 20)) is MEMBERS[0]
        assert run(answer(2_000, 20)) is MEMBERS[1]
        assert run(answer(200, 200)) is MEMBERS[1]

    def test_long_prompts_do_not_make_a_server_slow(self):
        """Guards against a server that is avoided for the work it gets."""
        assert run(answer(2_000, 20, prompt_tokens=10_000)) is MEMBERS[0]

    def test_without_members_there_is_no_choice(self):
        """Guards against a failure for an empty pool."""
        servers = SlowServers(StaticFleet(Tables()), ManualClock(), Random(1))
        assert servers.first_choice("p", []) is None
