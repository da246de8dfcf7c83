import socket

import anyio
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.errors import CodecError, MedlarridgeError
from medlarridge._internal.protocol.gossip import (
    DigestReply,
    DigestRequest,
    ExchangeFailure,
    MemberPageRequest,
    encode,
)
from medlarridge._internal.transport import exchange
from medlarridge._internal.transport.exchange import (
    IDLE_TIMEOUT_MS,
    MAX_REPLY_BYTES,
    ExchangeClient,
    ExchangeServer,
    ExchangeSigner,
    compress_reply,
    decompress_reply,
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
        """Guards against idle connections that are never closed."""
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
            clock.advance(IDLE_TIMEOUT_MS)
            client.close_idle()
            assert not client.idle
            tasks.cancel_scope.cancel()
        server.close()

    async def test_failures_end_in_errors_that_name_the_peer(self, monkeypatch):
        """Guards against waiting forever and replies of unlimited size."""
        monkeypatch.setattr(exchange, "REQUEST_TIMEOUT_MS", 300)
        server = ExchangeServer(free_address(), KEY, answer)
        client = ExchangeClient(KEY, ManualClock())
        unauthorised = ExchangeClient(b"another key of 16 bytes", ManualClock())
        server.open()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            for requester, address, request in (
                (client, free_address(), DigestRequest()),
                (unauthorised, server.address, DigestRequest()),
                (client, server.address, MemberPageRequest()),
            ):
                with pytest.raises(MedlarridgeError) as caught:
                    await requester.request(address, request)
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
    def test_malformed_requests_do_not_raise(self, body):
        """Guards against a malformed request that ends the server."""
        server = ExchangeServer("127.0.0.1:1", KEY, lambda _: DigestReply(b""))
        assert server.reply_to(body) is None
        signed = server.signer.sign_request(NONCE, body)
        assert server.reply_to(signed) is not None

    def test_reply_to_another_request_is_refused(self):
        """Guards against a replayed reply with outdated content."""
        signer = ExchangeSigner(KEY)
        reply = signer.sign_reply(NONCE, encode(ExchangeFailure("old")))
        assert signer.verify_reply(NONCE, reply) is not None
        assert signer.verify_reply(b"87654321", reply) is None
        assert signer.verify_request(signer.sign_request(NONCE, b"x")[:-1]) is None


class TestCompression:
    def test_large_replies_are_compressed_and_restored(self):
        """Guards against deltas of large tables that exceed the control traffic budget."""
        for body in (b"", b"x" * 10, b"account limit " * 1000):
            assert decompress_reply(compress_reply(body), "peer") == body
        assert len(compress_reply(b"account limit " * 1000)) < 1000

    @pytest.mark.parametrize("data", [b"", b"\1x", compress_reply(b"x" * 9999)[:-3]])
    def test_malformed_replies_are_refused(self, data):
        """Guards against malformed bytes from a peer that crash the process."""
        with pytest.raises(CodecError) as caught:
            decompress_reply(data, "peer")
        assert caught.value.peer == "peer"

    def test_decompressed_replies_are_limited(self):
        """Guards against a small reply that exhausts memory when decompressed."""
        with pytest.raises(CodecError, match="exceeds"):
            decompress_reply(compress_reply(bytes(MAX_REPLY_BYTES + 1)), "peer")


class TestCutMessages:
    """A message that ends early, or has bytes after its end, is never taken for whole."""

    @pytest.mark.parametrize("size", [4, 10_000], ids=["plain", "compressed"])
    def test_replies_are_refused_at_every_cut(self, size):
        """Guards against part of a table that is taken for the whole one."""
        signer = ExchangeSigner(KEY)
        packed = compress_reply(encode(DigestReply(bytes(size))))
        signed = signer.sign_reply(NONCE, packed)
        assert signer.verify_reply(NONCE, signed) == packed
        for cut in range(len(signed)):
            assert signer.verify_reply(NONCE, signed[:cut]) is None
        assert signer.verify_reply(NONCE, signed + b"\0") is None
        assert signer.verify_reply(NONCE, b"\0" + signed) is None

    def test_requests_are_refused_at_every_cut(self):
        """Guards against a request that asks for something else than was meant."""
        signer = ExchangeSigner(KEY)
        signed = signer.sign_request(NONCE, encode(MemberPageRequest("10.0.0.1:7")))
        server = ExchangeServer("127.0.0.1:1", KEY, answer)
        for cut in range(len(signed)):
            assert server.reply_to(signed[:cut]) is None
        assert server.reply_to(signed + b"\0") is None
        assert server.dropped["unauthenticated"] == len(signed) + 1

    def test_compressed_content_is_refused_at_every_cut(self):
        """Guards against content that ends early in spite of a digest that matches."""
        packed = compress_reply(encode(DigestReply(bytes(10_000))))
        for cut in range(1, len(packed)):
            with pytest.raises(CodecError):
                decompress_reply(packed[:cut], "peer")
