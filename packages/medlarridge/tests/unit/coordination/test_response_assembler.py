import pytest

from medlarridge._internal.coordination.response_assembler import (
    ResponseAssembler,
    ResponseError,
    ResponsePhase,
)
from medlarridge._internal.protocol.messages import Chunk, End, Outcome, ResponseHead


class TestResponseAssembler:
    def test_drops_duplicate_chunks(self):
        """Guards against duplicated text after a resumed connection."""
        response = ResponseAssembler("peer")
        response.add(ResponseHead(200, []))
        frames = [Chunk(0, b"a"), Chunk(1, b"b"), Chunk(0, b"a"), Chunk(2, b"c")]
        assert b"".join(response.add(frame) for frame in frames) == b"abc"
        response.add(End(Outcome.COMPLETE, 3))
        assert response.phase is ResponsePhase.ENDED

    def test_rejects_a_gap(self):
        """Guards against a response with a missing chunk in the middle."""
        response = ResponseAssembler("peer")
        response.add(Chunk(0, b"a"))
        with pytest.raises(ResponseError, match="expected 1") as raised:
            response.add(Chunk(2, b"c"))
        assert raised.value.peer == "peer"

    def test_rejects_an_end_with_missing_chunks(self):
        """Guards against a truncated response that looks complete."""
        response = ResponseAssembler("peer")
        response.add(Chunk(0, b"a"))
        with pytest.raises(ResponseError, match="ended after 2"):
            response.add(End(Outcome.COMPLETE, 2))
        assert response.phase is not ResponsePhase.ENDED
