from dataclasses import dataclass, field

import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.membership import Observation
from medlarridge._internal.coordination.retry import Target
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.protocol.messages import End, NotRun, Outcome, Refusal
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge._internal.transport.attempt_client import AttemptEnd, AttemptEndState
from medlarridge_router._internal.observations import SERVER_DOWN_MS, Observations
from medlarridge_standins.local_fleet import local_fleet

TABLES = {
    "routes": {"chats": {"pools": ["engines"]}},
    "pools": {"engines": {"kind": "engine", "data_centres": ["data-centre-a"]}},
}
ENDED = AttemptEnd(AttemptEndState.ENDED, end=End(Outcome.COMPLETE, 1))
NOT_SENT = AttemptEnd(AttemptEndState.NOT_SENT)


def refused(reason):
    return AttemptEnd(AttemptEndState.REFUSED, refusal=NotRun(reason, 1))


@dataclass
class FakeClient:
    unreachable: bool = False


@dataclass
class RecordingFleet:
    seen: list = field(default_factory=list)

    def observe(self, address, number, observation):
        self.seen.append((address, number, observation))


def member(name):
    instance = Instance(f"{name}:1", 1, "data-centre-a", "region", Role.SIDECAR)
    return Member(instance, "engines")


class TestObservations:
    @pytest.mark.parametrize(
        ("client", "result", "expected"),
        [
            (FakeClient(unreachable=True), NOT_SENT, Observation.REFUSED),
            (FakeClient(), refused(Refusal.WRONG_INSTANCE), Observation.REFUSED),
            (FakeClient(), refused(Refusal.DRAINING), Observation.DRAINING),
            (FakeClient(), refused(Refusal.LOAD_BOUND), Observation.ANSWERED),
            (FakeClient(), ENDED, Observation.ANSWERED),
        ],
    )
    def test_membership_learns_what_attempts_show(self, client, result, expected):
        """Guards against a router that keeps sending requests to a process that is
        gone or leaving until gossip tells it."""
        fleet = RecordingFleet()
        target = Target("one:1", 7, "engines")
        Observations(fleet, ManualClock(0)).record(target, client, result)
        assert fleet.seen == [("one:1", 7, expected)]

    @pytest.mark.parametrize("state", [AttemptEndState.NOT_SENT, AttemptEndState.LOST])
    def test_end_without_sign_of_life_shows_nothing(self, state):
        """Guards against members that are avoided because a deadline passed."""
        fleet = RecordingFleet()
        target = Target("one:1", 7, "engines")
        Observations(fleet, ManualClock(0)).record(
            target, FakeClient(), AttemptEnd(state)
        )
        assert fleet.seen == []

    def test_member_whose_server_is_down_comes_last_for_a_while(self):
        """Guards against a dead server that uses up the retry budget, and against one
        that gets no work after it has come back."""
        clock = ManualClock(0)
        observations = Observations(RecordingFleet(), clock)
        members = [member("one"), member("two")]
        target = Target("one:1", 1, "engines")
        observations.record(target, FakeClient(), refused(Refusal.SERVER_UNREACHABLE))
        assert observations.reachable_first(members) == members[::-1]
        clock.advance(SERVER_DOWN_MS)
        assert observations.reachable_first(members) == members
        observations.record(target, FakeClient(), refused(Refusal.SERVER_UNREACHABLE))
        observations.record(target, FakeClient(), ENDED)
        assert observations.reachable_first(members) == members


def answering_engine():
    endpoints = Endpoints()

    @endpoints.register("POST", "/v1/chat/completions")
    async def complete(request, response):
        await request.body()
        await response.reply_json(200, {})

    return endpoints


class TestRouter:
    async def test_requests_avoid_a_server_that_is_down(self):
        """Guards against requests that each try the dead home of their chat first."""
        async with local_fleet(TABLES) as fleet:
            fleet.clock = ManualClock(0)
            down = fleet.add_server("one", "engines", answering_engine())
            fleet.add_server("two", "engines", answering_engine())
            del fleet.transport.applications["one-server:1"]
            fleet.add_router("router")
            for number in range(20):
                message = {"role": "user", "content": f"chat {number}"}
                answer = await fleet.client.post(
                    "http://router/v1/chat/completions",
                    json={"model": "chats", "messages": [message]},
                    timeout=30,
                )
                assert answer.status_code == 200
            value = down.metrics.registry.get_sample_value
            labels = {"result": "server-unreachable"}
            assert value("medlarridge_sidecar_attempts_total", labels) == 1
