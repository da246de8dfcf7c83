import socket

import anyio
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.errors import MedlarridgeError
from medlarridge._internal.protocol.gossip import (
    DigestReply,
    DigestRequest,
    ExchangeFailure,
    MemberPageRequest,
    encode,
)
from medlarridge._internal.transport import exchange
from medlarridge._internal.transport.exchange import (
    IDLE_MS,
    MAX_REPLY_BYTES,
    ExchangeClient,
    ExchangeSeal,
    ExchangeServer,
)

KEY = b"a shared key of the test fleet"
NONCE = b"12345678"


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1] - 1}"


def answer(request):
    if isinstance(request, DigestRequest):
        return DigestReply(b"four")
    return DigestReply(bytes(MAX_REPLY_BYTES))


class TestExchange:
    async def test_reuses_a_connection_and_closes_it_when_idle(self):
        """Guards against a connection per peer that is never closed."""
        clock = ManualClock()
        server = ExchangeServer(free_address(), KEY, answer)
        client = ExchangeClient(KEY, clock)
        server.open()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            for _ in range(2):
                reply = await client.request(server.address, DigestRequest())
                assert reply == DigestReply(b"four")
            assert len(client.idle) == 1
            clock.advance(IDLE_MS)
            client.close_idle()
            assert not client.idle
            tasks.cancel_scope.cancel()
        server.close()

    async def test_failures_end_in_errors_that_name_the_peer(self, monkeypatch):
        """Guards against waits without end and replies without limit."""
        monkeypatch.setattr(exchange, "REQUEST_TIMEOUT_MS", 300)
        server = ExchangeServer(free_address(), KEY, answer)
        client = ExchangeClient(KEY, ManualClock())
        stranger = ExchangeClient(b"another key of 16 bytes", ManualClock())
        server.open()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            for asking, address, request in (
                (client, free_address(), DigestRequest()),
                (stranger, server.address, DigestRequest()),
                (client, server.address, MemberPageRequest()),
            ):
                with pytest.raises(MedlarridgeError) as caught:
                    await asking.request(address, request)
                assert caught.value.peer == address
            assert server.dropped["unauthenticated"] == 1
            assert await client.request(server.address, DigestRequest())
            tasks.cancel_scope.cancel()
        client.close()
        server.close()


class TestExchangeServer:
    @seed(41)
    @settings(deadline=None, database=None, max_examples=200)
    @given(st.binary(max_size=200))
    def test_malformed_requests_change_nothing(self, body):
        """Guards against a request that ends the server."""
        server = ExchangeServer("127.0.0.1:1", KEY, lambda _: DigestReply(b""))
        assert server.reply_to(body) is None
        sealed = server.seal.close_request(NONCE, body)
        assert server.reply_to(sealed) is not None

    def test_reply_to_another_request_is_refused(self):
        """Guards against a replayed reply with old content."""
        seal = ExchangeSeal(KEY)
        reply = seal.close_reply(NONCE, encode(ExchangeFailure("old")))
        assert seal.open_reply(NONCE, reply) is not None
        assert seal.open_reply(b"87654321", reply) is None
        assert seal.open_request(seal.close_request(NONCE, b"x")[:-1]) is None
