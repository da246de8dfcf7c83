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
    observations: list = field(default_factory=list)

    def observe(self, address, number, observation):
        self.observations.append((address, number, observation))


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
    def test_attempt_ends_are_reported_to_membership(self, client, result, expected):
        """Guards against a router that sends requests to a process that is down or
        draining until gossip reports it."""
        fleet = RecordingFleet()
        target = Target("one:1", 7, "engines")
        Observations(fleet, ManualClock(0)).record(target, client, result)
        assert fleet.observations == [("one:1", 7, expected)]

    @pytest.mark.parametrize("state", [AttemptEndState.NOT_SENT, AttemptEndState.LOST])
    def test_end_without_evidence_is_not_reported(self, state):
        """Guards against members that are avoided after an expired deadline."""
        fleet = RecordingFleet()
        target = Target("one:1", 7, "engines")
        Observations(fleet, ManualClock(0)).record(
            target, FakeClient(), AttemptEnd(state)
        )
        assert fleet.observations == []

    def test_member_with_server_down_is_ranked_last_temporarily(self):
        """Guards against an unreachable server that uses up the retry budget, and
        against a recovered server that gets no work."""
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


def responding_engine():
    endpoints = Endpoints()

    @endpoints.register("POST", "/v1/chat/completions")
    async def complete(request, response):
        await request.body()
        await response.reply_json(200, {})

    return endpoints


class TestRouter:
    async def test_requests_avoid_a_server_that_is_down(self):
        """Guards against requests that each try an unreachable first choice."""
        async with local_fleet(TABLES) as fleet:
            fleet.clock = ManualClock(0)
            down = fleet.add_server("one", "engines", responding_engine())
            fleet.add_server("two", "engines", responding_engine())
            del fleet.transport.applications["one-server:1"]
            fleet.add_router("router")
            for number in range(20):
                message = {"role": "user", "content": f"chat {number}"}
                response = await fleet.client.post(
                    "http://router/v1/chat/completions",
                    json={"model": "chats", "messages": [message]},
                    timeout=30,
                )
                assert response.status_code == 200
            value = down.metrics.registry.get_sample_value
            labels = {"result": "server-unreachable"}
            assert value("medlarridge_sidecar_attempts_total", labels) == 1
