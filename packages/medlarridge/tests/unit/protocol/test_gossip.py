import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.errors import CodecError
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.protocol.gossip import (
    MAX_UPDATES,
    MemberPage,
    MemberRecord,
    Ping,
    Push,
    Status,
    StatusUpdate,
    decode_gossip,
    decode_reply,
    decode_request,
    encode,
)

MEMBER = Member(Instance("10.0.0.1:80", 5, "a", "r", Role.ROUTER))
PING = Ping(
    1, 5, 1, 6, 3, 9, [MemberRecord(MEMBER, 2), StatusUpdate("b:1", 3, 4, Status.DEAD)]
)


class TestDecoders:
    @seed(21)
    @settings(deadline=None, database=None, max_examples=300)
    @given(st.binary(max_size=400))
    def test_hostile_bytes_raise_only_codec_errors(self, data):
        """Guards against malformed bytes from a peer that crash the process."""
        for decode in (decode_gossip, decode_request, decode_reply):
            try:
                decode(data, "peer")
            except CodecError as error:
                assert error.peer == "peer"

    @seed(22)
    @settings(deadline=None, database=None, max_examples=300)
    @given(st.integers(0, len(encode(PING)) - 1), st.integers(1, 255))
    def test_changed_bytes_give_a_valid_message_or_an_error(self, place, flip):
        """Guards against a corrupt datagram with values outside their limits."""
        data = bytearray(encode(PING))
        data[place] ^= flip
        try:
            message = decode_gossip(bytes(data), "peer")
        except CodecError:
            return
        assert decode_gossip(encode(message), "peer") == message

    def test_nested_arrays_are_refused(self):
        """Guards against unbounded recursion in a decoder."""
        for decode in (decode_gossip, decode_request, decode_reply):
            with pytest.raises(CodecError):
                decode(b"\x91" * 100_000, "peer")

    @pytest.mark.parametrize(
        "member",
        [
            msgspec.structs.replace(MEMBER, weight=float("nan")),
            msgspec.structs.replace(MEMBER, weight=-1.0),
            msgspec.structs.replace(MEMBER, pool="p" * 65),
            Member(Instance("", 5, "a", "r", Role.ROUTER)),
            Member(Instance("a:1", 2**50, "a", "r", Role.ROUTER)),
            Member(Instance("a:1", 0, "a", "r", Role.ROUTER)),
        ],
    )
    def test_records_outside_their_limits_are_refused(self, member):
        """Guards against a faulty process whose record breaks placement on all others."""
        record = MemberRecord(member, 1)
        with pytest.raises(CodecError):
            decode_gossip(encode(Push(1, 1, [record])), "peer")
        with pytest.raises(CodecError):
            decode_reply(encode(MemberPage([record])), "peer")

    def test_too_many_updates_are_refused(self):
        """Guards against a message that takes too long to handle."""
        verdicts = [StatusUpdate("a:1", 1, 1, Status.DEAD)] * (MAX_UPDATES + 1)
        with pytest.raises(CodecError):
            decode_gossip(encode(Push(1, 1, verdicts)), "peer")
