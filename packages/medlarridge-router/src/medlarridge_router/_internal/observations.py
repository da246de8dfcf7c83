"""Reachability of members and their servers, learned from attempts."""

from medlarridge._internal.clock import Clock
from medlarridge._internal.coordination.membership import Observation
from medlarridge._internal.coordination.retry import Target
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.identity import Member
from medlarridge._internal.protocol.messages import Outcome, Refusal
from medlarridge._internal.transport.attempt_client import (
    AttemptClient,
    AttemptEnd,
    AttemptEndState,
)

SERVER_DOWN_MS = 1_000
"""Time for which a member with an unreachable server is ranked last. More attempts at
it would use up the retry budget; one per second detects that the server is back."""


class Observations:
    """Records the reachability that attempts reveal and reorders members by it.

    Membership takes seconds to detect a dead process. Until then, each attempt at the
    process would cost a retry.
    """

    def __init__(self, fleet: FleetView, clock: Clock) -> None:
        self.fleet = fleet
        self.clock = clock
        self.down_until_ms: dict[tuple[str, int], int] = {}

    def record(self, target: Target, client: AttemptClient, result: AttemptEnd) -> None:
        """Record the end of an attempt."""
        observation = observation_from(client, result)
        if observation is not None:
            self.fleet.observe(target.address, target.number, observation)
        key = (target.address, target.number)
        reason = result.refusal.reason if result.refusal is not None else None
        if reason is Refusal.SERVER_UNREACHABLE:
            self.down_until_ms[key] = self.clock.now_ms() + SERVER_DOWN_MS
        elif result.end is not None and result.end.outcome is Outcome.COMPLETE:
            self.down_until_ms.pop(key, None)

    def reachable_first(self, members: list[Member]) -> list[Member]:
        """Return the members in order, those with an unreachable server last."""
        if not self.down_until_ms:
            return members
        now_ms = self.clock.now_ms()
        for key, until_ms in list(self.down_until_ms.items()):
            if until_ms <= now_ms:
                del self.down_until_ms[key]
        return sorted(members, key=self.is_down)

    def is_down(self, member: Member) -> bool:
        """Return whether the server of a member was recently reported as unreachable."""
        instance = member.instance
        return (instance.address, instance.number) in self.down_until_ms


def observation_from(client: AttemptClient, result: AttemptEnd) -> Observation | None:
    """Return what an attempt reveals about the sidecar's process, if anything."""
    if result.refusal is not None:
        if result.refusal.reason is Refusal.DRAINING:
            return Observation.DRAINING
        if result.refusal.reason is Refusal.WRONG_INSTANCE:
            return Observation.REFUSED
        return Observation.ANSWERED
    if result.state is AttemptEndState.ENDED:
        return Observation.ANSWERED
    return Observation.REFUSED if client.unreachable else None
