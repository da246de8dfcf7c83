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


def completed_attempt(first_ms, interval_ms, prompt_tokens=100):
    return SimpleNamespace(
        attempt=SimpleNamespace(prompt_tokens=prompt_tokens),
        started_ms=0,
        first_piece_ms=first_ms,
        mean_piece_interval_ms=lambda: interval_ms,
    )


def first_choice_after(first_server_attempt, seconds=60, prompt_tokens=100):
    """Record one attempt per second at each server; return the first choice.

    The attempts of server 0 are given, those of the others are equally fast.
    """
    clock = ManualClock()
    servers = SlowServers(StaticFleet(Tables(), MEMBERS), clock, Random(1))
    for _ in range(seconds):
        for number, member in enumerate(MEMBERS):
            target = Target(member.instance.address, 1, "p", "dc")
            attempt = (
                first_server_attempt if number == 0 else completed_attempt(200, 20)
            )
            servers.record(target, attempt)
        clock.advance(1_000)
        servers.evaluate()
    return servers.first_choice("p", MEMBERS)


class TestSlowServers:
    def test_a_slow_server_is_not_the_first_choice(self):
        """Guards against chats that stay at a server that responds but is slow."""
        assert first_choice_after(completed_attempt(200, 20)) is MEMBERS[0]
        assert first_choice_after(completed_attempt(2_000, 20)) is MEMBERS[1]
        assert first_choice_after(completed_attempt(200, 200)) is MEMBERS[1]

    def test_long_prompts_do_not_make_a_server_slow(self):
        """Guards against servers that are avoided because of long prompts."""
        assert (
            first_choice_after(completed_attempt(2_000, 20, prompt_tokens=10_000))
            is MEMBERS[0]
        )

    def test_without_members_there_is_no_choice(self):
        """Guards against an error for an empty pool."""
        servers = SlowServers(StaticFleet(Tables()), ManualClock(), Random(1))
        assert servers.first_choice("p", []) is None
