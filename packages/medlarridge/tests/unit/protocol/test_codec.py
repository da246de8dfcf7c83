import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.errors import CodecError
from medlarridge._internal.protocol.codec import (
    FrameReader,
    decode_message,
    encode_frame,
)
from medlarridge._internal.protocol.messages import Chunk, End, Outcome


class TestFrameReader:
    @seed(1)
    @settings(deadline=None, database=None)
    @given(st.lists(st.binary(max_size=64)), st.integers(1, 7))
    def test_decodes_frames_split_at_any_point(self, pieces, step):
        """Guards against frames that are lost or merged at a read boundary."""
        frames = [Chunk(number, data) for number, data in enumerate(pieces)]
        frames.append(End(Outcome.COMPLETE, len(pieces)))
        data = b"".join(encode_frame(frame) for frame in frames)
        reader = FrameReader("peer")
        decoded = []
        for start in range(0, len(data), step):
            decoded += reader.feed(data[start : start + step])
        assert decoded == frames

    @seed(2)
    @settings(deadline=None, database=None)
    @given(st.binary(max_size=200))
    def test_hostile_bytes_raise_only_codec_errors(self, data):
        """Guards against malformed bytes from a peer that crash the process."""
        reader = FrameReader("peer", max_frame_bytes=100)
        try:
            list(reader.feed(data))
        except CodecError as error:
            assert error.peer == "peer"

    def test_refuses_oversized_frame_before_it_arrives(self):
        """Guards against buffering a frame of any announced length."""
        with pytest.raises(CodecError, match="limit is 10"):
            list(FrameReader("peer", 10).feed(b"\x00\x00\x01\x00"))


class TestDecodeMessage:
    @seed(3)
    @settings(deadline=None, database=None)
    @given(st.binary(max_size=400))
    def test_hostile_datagram_raises_only_codec_errors(self, data):
        """Guards against a malformed datagram that ends the receiver's task."""
        try:
            decode_message(msgspec.msgpack.Decoder(Chunk | End), data, "10.0.0.2:80")
        except CodecError as error:
            assert error.peer == "10.0.0.2:80"
            assert error.step == "decode datagram"

    def test_deep_nesting_is_a_codec_error(self):
        """Guards against a nested message that exhausts the stack."""
        nested = b"\x91" * 100_000
        with pytest.raises(CodecError, match="malformed message"):
            decode_message(msgspec.msgpack.Decoder(), nested, "10.0.0.2:80")
