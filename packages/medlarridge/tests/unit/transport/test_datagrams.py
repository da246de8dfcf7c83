import anyio
import anyio.lowlevel
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.errors import CodecError, TransportError
from medlarridge._internal.transport.datagrams import (
    MAX_DATAGRAM_BYTES,
    MAX_PAYLOAD_BYTES,
    DatagramEndpoint,
    DatagramSigner,
)

KEY = b"a shared key of the test fleet"
LOCAL, PEER, OTHER_PEER = "127.0.0.1:27810", "127.0.0.1:27820", "127.0.0.1:27830"


def endpoint():
    received = []

    async def handle(source, payload):
        received.append((source, payload))

    endpoint = DatagramEndpoint(LOCAL, KEY)
    endpoint.register(7, handle)
    return endpoint, received


class TestDatagramEndpoint:
    async def test_dispatches_authentic_datagrams_by_kind(self):
        """Guards against datagrams that reach the handler of another kind."""
        receiver, received = endpoint()
        signer = DatagramSigner(KEY)
        await receiver.receive(PEER, signer.sign(PEER, LOCAL, 7, b"load"))
        await receiver.receive(PEER, signer.sign(PEER, LOCAL, 8, b"load"))
        assert received == [(PEER, b"load")]
        assert receiver.counts.dropped == {"unknown kind": 1}

    async def test_drops_and_counts_unauthenticated_datagrams(self):
        """Guards against forged, redirected and replayed datagrams."""
        receiver, received = endpoint()
        signer = DatagramSigner(KEY)
        await receiver.receive(
            PEER, DatagramSigner(b"x" * 16).sign(PEER, LOCAL, 7, b"a")
        )
        await receiver.receive(OTHER_PEER, signer.sign(PEER, LOCAL, 7, b"a"))
        await receiver.receive(PEER, signer.sign(PEER, OTHER_PEER, 7, b"a"))
        await receiver.receive(PEER, bytes(MAX_DATAGRAM_BYTES + 1))
        assert received == []
        assert receiver.counts.dropped == {"unauthenticated": 3, "oversized": 1}

    @seed(31)
    @settings(deadline=None, database=None, max_examples=200)
    @given(st.binary(max_size=MAX_DATAGRAM_BYTES))
    def test_any_bytes_without_the_key_are_refused(self, data):
        """Guards against forged datagrams that pass the check of the digest."""
        assert DatagramSigner(KEY).verify(PEER, LOCAL, data) is None

    async def test_faulty_handler_does_not_stop_others(self):
        """Guards against one malformed payload that ends the receive loop."""
        receiver, received = endpoint()

        async def fail(source, payload):
            raise CodecError("bad") if payload == b"codec" else ZeroDivisionError

        receiver.register(9, fail)
        signer = DatagramSigner(KEY)
        for kind, payload in ((9, b"codec"), (9, b"other"), (7, b"good")):
            await receiver.receive(PEER, signer.sign(PEER, LOCAL, kind, payload))
        assert received == [(PEER, b"good")]
        assert receiver.counts.dropped == {"malformed": 1, "handler failed": 1}

    async def test_sends_of_concurrent_tasks_are_serialised(self):
        """Guards against BusyResourceError when two tasks send at the same time."""
        sender, _ = endpoint()

        class OneWriter:
            busy, sent = False, 0

            async def sendto(self, data, host, port):
                if self.busy:
                    raise anyio.BusyResourceError("writing to")
                self.busy = True
                await anyio.lowlevel.checkpoint()
                self.busy, self.sent = False, self.sent + 1

        sender.socket = OneWriter()
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(sender.send, PEER, 7, b"load")
        assert sender.socket.sent == 5

    async def test_refuses_oversized_payloads_and_short_keys(self):
        """Guards against sending datagrams that every receiver drops."""
        sender, _ = endpoint()
        with pytest.raises(TransportError, match="exceeds"):
            await sender.send(PEER, 7, bytes(MAX_PAYLOAD_BYTES + 1))
        with pytest.raises(ValueError, match="at least"):
            DatagramSigner(b"short")
        with pytest.raises(ValueError, match="twice"):
            sender.register(7, None)
