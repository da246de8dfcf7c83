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
    async def test_an_answer_is_kept_for_the_time_to_resume(self):
        """Guards against answers that fill the memory until a long deadline."""
        live, stream = live_attempt()
        assert not live.is_over(0)
        stream.end = End(Outcome.COMPLETE, 1)
        stream.take()
        assert not live.is_over(100)
        assert not live.is_over(99 + RESUME_GRACE_MS)
        assert live.is_over(100 + RESUME_GRACE_MS)

    async def test_an_answer_that_is_still_read_is_kept(self):
        """Guards against an answer that is dropped while a slow caller reads it."""
        live, stream = live_attempt()
        stream.end = End(Outcome.COMPLETE, 1)
        assert not live.is_over(0)
        assert not live.is_over(10 * RESUME_GRACE_MS)
        stream.detached_ms = 0
        assert not live.is_over(20 * RESUME_GRACE_MS)
        assert live.is_over(21 * RESUME_GRACE_MS)
