"""Guards against caller input that causes an internal error."""

import json

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.errors import UserError
from medlarridge._internal.protocol.caller import (
    CallerRequest,
    parse_chat,
    parse_service_call,
)

SEED = 2206
numbers = st.integers() | st.integers(min_value=2**63, max_value=2**80)
values = st.recursive(
    st.none() | st.booleans() | numbers | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
messages = st.fixed_dictionaries(
    {"role": st.sampled_from(["user", "system", ""]) | values},
    optional={"content": values, "name": values},
)
chats = st.fixed_dictionaries(
    {"model": st.just("chats") | values, "messages": st.lists(messages) | values},
    optional={"stream": values, "max_tokens": values, "other": values},
)
latin = st.characters(max_codepoint=255)
header_values = st.text(latin, max_size=300) | st.integers(0, 9).map(
    lambda digit: str(digit) * 5_000
)
headers = st.dictionaries(
    st.sampled_from(
        [
            "x-medlarridge-account",
            "x-medlarridge-chat",
            "x-medlarridge-region",
            "x-medlarridge-deadline-ms",
            "idempotency-key",
            "accept",
        ]
    ),
    header_values,
)


def parsed(parse, *arguments):
    try:
        return parse(*arguments)
    except UserError as error:
        assert error.message
        return None


class TestCallerFuzz:
    @seed(SEED)
    @settings(max_examples=400, deadline=None, database=None)
    @given(chats, headers)
    def test_chat(self, chat, given_headers):
        caller = parsed(parse_chat, json.dumps(chat).encode(), given_headers)
        assert caller is None or isinstance(caller, CallerRequest)

    @seed(SEED)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.binary(max_size=200) | st.integers(1, 5_000).map(lambda n: b"[" * n))
    def test_body_that_is_not_a_chat(self, body):
        assert parsed(parse_chat, body, {}) is None

    @seed(SEED)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.text(latin), st.text(latin), st.binary(), headers)
    def test_service_call(self, route, path, body, given_headers):
        caller = parsed(parse_service_call, route, "POST", path, body, given_headers)
        assert caller is None or caller.body == body
