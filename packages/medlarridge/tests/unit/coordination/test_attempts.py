import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.attempts import (
    MAX_RETAINED_BYTES,
    RECORD_GRACE_MS,
    RESUME_GRACE_MS,
    UNSENT_WINDOW_BYTES,
    AttemptRegister,
    AttemptStream,
)
from medlarridge._internal.protocol.messages import (
    Attempt,
    End,
    NotRun,
    Outcome,
    Refusal,
    ResponseHead,
)

REFUSAL = NotRun(Refusal.DRAINING, 1)


def attempt(number=1, deadline_ms=1_000):
    return Attempt("r", number, 1, "t", "p", 1, "a", "GET", "/", deadline_ms)


class TestAttemptStream:
    @seed(3)
    @settings(deadline=None, database=None)
    @given(st.lists(st.one_of(st.binary(max_size=9), st.integers(0, 9)), max_size=60))
    def test_any_resume_delivers_every_chunk_in_order(self, steps):
        """Guards against lost or duplicated chunks after a resumed connection."""
        stream, written, received = AttemptStream(0), [], []
        for step in steps:
            if isinstance(step, bytes):
                stream.append(step)
                written.append(step)
            elif step == 0:
                stream.rewind(len(received))
            elif (chunk := stream.take()) is not None:
                assert chunk.number == len(received)
                received.append(chunk.data)
        while (chunk := stream.take()) is not None:
            received.append(chunk.data)
        assert received == written
        assert stream.unsent_bytes == 0

    def test_a_slow_router_stops_reading_from_the_server(self):
        """Guards against unlimited buffering for a slow caller."""
        stream = AttemptStream(0)
        while stream.has_room():
            stream.append(b"x" * 1024)
        assert stream.unsent_bytes == UNSENT_WINDOW_BYTES
        stream.take()
        assert stream.has_room()

    def test_buffers_a_limited_amount_of_delivered_chunks(self):
        """Guards against buffering the whole of a long response."""
        stream = AttemptStream(0)
        chunk_data = b"x" * 64 * 1024
        count = 3 * MAX_RETAINED_BYTES // len(chunk_data)
        for _ in range(count):
            stream.append(chunk_data)
            stream.take()
        assert stream.retained_bytes <= MAX_RETAINED_BYTES
        assert not stream.can_resume(0)
        assert stream.can_resume(count)

    def test_is_abandoned_after_the_grace_period(self):
        """Guards against work that continues after its router has died."""
        stream = AttemptStream(0, detached_ms=100)
        assert not stream.is_abandoned(99 + RESUME_GRACE_MS)
        assert stream.is_abandoned(100 + RESUME_GRACE_MS)


class TestAttemptRegister:
    def test_keeps_a_refusal_beyond_the_deadline(self):
        """Guards against running a late duplicate after a "not run" response."""
        clock = ManualClock()
        register = AttemptRegister(clock)
        register.refuse(attempt(), REFUSAL)
        clock.advance(1_000 + RECORD_GRACE_MS - 1)
        register.purge()
        assert register.find("r", 1).refusal is REFUSAL
        clock.advance(1)
        register.purge()
        assert register.find("r", 1) is None

    def test_keeps_a_running_attempt_past_its_expiry(self):
        """Guards against running a duplicate of work that outlives its deadline."""
        clock = ManualClock()
        register = AttemptRegister(clock)
        stream = register.open(attempt())
        clock.advance(10 * RECORD_GRACE_MS)
        register.purge()
        assert register.find("r", 1).stream is stream
        stream.end = End(Outcome.COMPLETE, 0)
        register.purge()
        assert register.find("r", 1) is None

    def test_an_attempt_is_never_both_refused_and_run(self):
        """Guards against a refusal of work that the server may have seen."""
        register = AttemptRegister(ManualClock())
        register.refuse(attempt(1), REFUSAL)
        with pytest.raises(ValueError):
            register.open(attempt(1))
        stream = register.open(attempt(2))
        with pytest.raises(ValueError):
            register.refuse(attempt(2), REFUSAL)
        stream.head = ResponseHead(200, [])
        with pytest.raises(ValueError):
            register.withdraw(attempt(2), REFUSAL)
