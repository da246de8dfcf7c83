import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.attempts import (
    RECORD_GRACE_MS,
    RESUME_GRACE_MS,
    RETAINED_BYTES,
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
        """Guards against chunks lost or doubled by a resume."""
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

    def test_a_slow_reader_stops_the_writer(self):
        """Guards against memory filled by a slow caller."""
        stream = AttemptStream(0)
        while stream.has_room():
            stream.append(b"x" * 1024)
        assert stream.unsent_bytes == UNSENT_WINDOW_BYTES
        stream.take()
        assert stream.has_room()

    def test_keeps_a_bounded_tail_of_delivered_chunks(self):
        """Guards against a long answer that is kept whole in memory."""
        stream = AttemptStream(0)
        piece = b"x" * 64 * 1024
        count = 3 * RETAINED_BYTES // len(piece)
        for _ in range(count):
            stream.append(piece)
            stream.take()
        assert stream.retained_bytes <= RETAINED_BYTES
        assert not stream.can_resume(0)
        assert stream.can_resume(count)

    def test_is_abandoned_after_the_grace_time(self):
        """Guards against work that goes on for a router that is gone."""
        stream = AttemptStream(0, detached_ms=100)
        assert not stream.is_abandoned(99 + RESUME_GRACE_MS)
        assert stream.is_abandoned(100 + RESUME_GRACE_MS)


class TestAttemptRegister:
    def test_remembers_a_refusal_beyond_the_deadline(self):
        """Guards against a late copy that runs after a "not run" answer."""
        clock = ManualClock()
        register = AttemptRegister(clock)
        register.refuse(attempt(), REFUSAL)
        clock.advance(1_000 + RECORD_GRACE_MS - 1)
        register.purge()
        assert register.find("r", 1).refusal is REFUSAL
        clock.advance(1)
        register.purge()
        assert register.find("r", 1) is None

    def test_keeps_a_running_attempt_past_its_time(self):
        """Guards against a second run of work that outlives its deadline."""
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
