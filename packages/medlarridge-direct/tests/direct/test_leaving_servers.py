"""Requests to servers that say in their answers that they leave."""

import pytest

from .scripted import make_components
from .test_request_run import OK, handle_request, sent_to

pytestmark = pytest.mark.anyio

DRAIN_MS = 2_000
LEAVING_OK = OK.replace(b"Signature", b"Leaving: 1\r\nSignature")


class TestLeaving:
    async def test_a_leaving_server_gets_no_request(self):
        """Guards against requests to a server that has said it leaves (DRAIN)."""
        scripts = {"a": [(LEAVING_OK,)] * 99, "b": [(OK,)] * 99}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        await handle_request(scripts, components=components)
        assert sent_to(components) == ["a"]
        components.clock.advance(DRAIN_MS)
        for _ in range(20):
            await handle_request(scripts, components=components)
        assert sent_to(components)[1:] == ["b"] * 20
