import pytest

from medlarridge._internal.coordination.response_assembler import (
    ResponseAssembler,
    ResponseError,
    ResponsePhase,
)
from medlarridge._internal.protocol.messages import Chunk, End, Outcome, ResponseHead


class TestResponseAssembler:
    def test_drops_copies_of_chunks(self):
        """Guards against doubled text after a resume."""
        answer = ResponseAssembler("peer")
        answer.add(ResponseHead(200, []))
        frames = [Chunk(0, b"a"), Chunk(1, b"b"), Chunk(0, b"a"), Chunk(2, b"c")]
        assert b"".join(answer.add(frame) for frame in frames) == b"abc"
        answer.add(End(Outcome.COMPLETE, 3))
        assert answer.phase is ResponsePhase.ENDED

    def test_refuses_a_gap(self):
        """Guards against an answer with a piece missing in the middle."""
        answer = ResponseAssembler("peer")
        answer.add(Chunk(0, b"a"))
        with pytest.raises(ResponseError, match="expected 1") as raised:
            answer.add(Chunk(2, b"c"))
        assert raised.value.peer == "peer"

    def test_refuses_an_end_before_the_last_chunk(self):
        """Guards against a cut answer that looks complete."""
        answer = ResponseAssembler("peer")
        answer.add(Chunk(0, b"a"))
        with pytest.raises(ResponseError, match="ended after 2"):
            answer.add(End(Outcome.COMPLETE, 2))
        assert answer.phase is not ResponsePhase.ENDED
