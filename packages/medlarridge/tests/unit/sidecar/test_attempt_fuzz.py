"""Guards against malformed attempts that cause an internal error.

Invalid bodies and headers of /attempts must be refused with status 400 or 413.
"""

import anyio
import msgspec
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.protocol.codec import encode_frame
from medlarridge._internal.protocol.messages import Attempt
from medlarridge._internal.transport.asgi import HttpError, HttpRequest
from medlarridge_sidecar._internal.endpoints import read_attempt, resume_position

SEED = 2208
ATTEMPT = Attempt("r", 1, 1, "desk", "p", 1, "a", "POST", "/x", 1_000, body=b"body")
FIELDS = msgspec.msgpack.decode(encode_frame(ATTEMPT)[4:])
values = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.binary()
values = values | st.text(max_size=10) | st.lists(st.integers(0, 9), max_size=3)


def in_frame(body):
    return len(body).to_bytes(4, "big") + body


changed = st.dictionaries(st.sampled_from(sorted(FIELDS)), values, min_size=1).map(
    lambda changes: in_frame(msgspec.msgpack.encode(FIELDS | changes))
)
flipped = st.tuples(
    st.integers(0, len(encode_frame(ATTEMPT)) - 1), st.integers(0, 255)
).map(lambda change: replace_byte(encode_frame(ATTEMPT), *change))


def replace_byte(data, position, value):
    return data[:position] + bytes([value]) + data[position + 1 :]


def request_with(body, headers=None):
    async def receive():
        return {"type": "http.request", "body": body}

    return HttpRequest("POST", "/attempts", {}, headers or {}, [], receive)


class TestAttemptFuzz:
    @seed(SEED)
    @settings(max_examples=500, deadline=None, database=None)
    @given(st.binary(max_size=100) | changed | flipped | st.binary().map(in_frame))
    def test_body(self, body):
        try:
            attempt = anyio.run(read_attempt, request_with(body))
        except HttpError as error:
            assert error.status in (400, 413)
        else:
            assert isinstance(attempt, Attempt)

    @seed(SEED)
    @settings(max_examples=100, deadline=None, database=None)
    @given(st.text(max_size=10) | st.just("7" * 5_000))
    def test_resume_header(self, text):
        try:
            position = resume_position(
                request_with(b"", {"x-medlarridge-resume": text})
            )
        except HttpError as error:
            assert error.status == 400
        else:
            assert position >= 0
