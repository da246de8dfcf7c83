from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.attempts import (
    RESUME_GRACE_MS,
    AttemptRegister,
)
from medlarridge._internal.protocol.messages import Attempt, End, Outcome
from medlarridge_sidecar._internal.live_attempt import LiveAttempt

ATTEMPT = Attempt("r", 1, 1, "t", "p", 1, "a", "GET", "/", 600_000)


def live_attempt():
    register = AttemptRegister(ManualClock())
    stream = register.open(ATTEMPT)
    live = LiveAttempt(ATTEMPT, register.add(ATTEMPT), stream)
    stream.append(b"x")
    return live, stream


class TestLiveAttempt:
    async def test_response_is_kept_until_it_can_no_longer_be_resumed(self):
        """Guards against ended responses that are kept in memory until the deadline."""
        live, stream = live_attempt()
        assert not live.is_removable(0)
        stream.end = End(Outcome.COMPLETE, 1)
        stream.take()
        assert not live.is_removable(100)
        assert not live.is_removable(99 + RESUME_GRACE_MS)
        assert live.is_removable(100 + RESUME_GRACE_MS)

    async def test_response_that_is_still_read_is_kept(self):
        """Guards against a response that is dropped while a slow caller reads it."""
        live, stream = live_attempt()
        stream.end = End(Outcome.COMPLETE, 1)
        assert not live.is_removable(0)
        assert not live.is_removable(10 * RESUME_GRACE_MS)
        stream.detached_ms = 0
        assert not live.is_removable(20 * RESUME_GRACE_MS)
        assert live.is_removable(21 * RESUME_GRACE_MS)
