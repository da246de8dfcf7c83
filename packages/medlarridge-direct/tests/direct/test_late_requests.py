"""Requests that reach a stopping router after the load balancer has reacted."""

import asyncio
import socket
import time

import pytest

from medlarridge._internal.clock import MS_PER_S
from medlarridge_direct._internal.coordination.hashing import stream_key
from medlarridge_direct._internal.coordination.route_durations import MIN_SAMPLES
from medlarridge_direct._internal.coordination.stop_schedule import BALANCER_REMOVAL_MS
from medlarridge_direct._internal.coordination.stream_origins import StreamOrigin
from medlarridge_direct._internal.graceful_stop import DRAIN_INTERVAL_MS
from medlarridge_direct._internal.protocol.configuration import RouteKind
from medlarridge_direct._internal.transport.server_connections import (
    ConnectionPools,
)

from .samples import listing, server
from .stopping_router import WORK_MS, StoppingRouter, read_all
from .test_request_run import END, EVENT, OK, STREAM, chunk

pytestmark = pytest.mark.anyio

EARLY = b"/plan/early"
LATE = b"/plan/late"
WHOLE_STREAM = STREAM + chunk(EVENT) + END
SHORT_DEADLINE = b"deadline: 3600"
STALL_S = 0.12

ANSWERS = {
    RouteKind.IDEMPOTENT: OK,
    RouteKind.AT_MOST_ONCE: OK,
    RouteKind.STREAM: WHOLE_STREAM,
}


@pytest.fixture
def anyio_backend():
    """Run on the event loop of the router as built."""
    return "asyncio", {"use_uvloop": True}


def request_bytes(target, *headers, body=b""):
    lines = [b"POST %b HTTP/1.1" % target, b"id: 1", b"host: desk.example"]
    lines += [b"key: key-1", *headers, b"content-length: %d" % len(body), b"", body]
    return b"\r\n".join(lines)


def parse_answers(data):
    """Return the statuses of the answers, None for one that is not complete."""
    statuses = []
    while data:
        head, separator, data = data.partition(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        if b"content-length" in fields:
            length = int(fields[b"content-length"])
            complete, data = len(data) >= length, data[length:]
        else:
            _, end, data = data.partition(b"0\r\n\r\n")
            complete = bool(end)
        complete = complete and bool(separator)
        statuses.append(int(head.split(b" ")[1]) if complete else None)
    return statuses


class LateClients:
    """Clients of a stopping router that has one more request to read.

    A request whose body is not complete keeps the router in its grace.
    """

    def __init__(self, fleet, answer):
        self.fleet = fleet
        self.answer = answer
        self.holder = self.connect()
        self.holder.sendall(request_bytes(b"/plan/held", body=b"body")[:-1])

    @property
    def connections(self):
        return self.fleet.router.components.connections

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.fleet.ports[0]))

    async def move_to(self, since_ms):
        """Move on to a time after SIGTERM."""
        await asyncio.sleep(0.03)
        self.shift_to(since_ms)
        await asyncio.sleep(0.03)

    def shift_to(self, since_ms):
        schedule = self.fleet.router.stop_schedule
        now_ms = self.fleet.clock.now_ms()
        self.fleet.clock.offset_ms += schedule.began_ms + since_ms - now_ms

    async def stall_until(self, since_ms, meanwhile):
        """Let the event loop stand still up to a time after SIGTERM.

        It does so after it has looked for bytes, so timers that are due run first.
        """

        def stall():
            loop.remove_reader(waking)
            result.append(meanwhile())
            time.sleep(STALL_S)
            self.shift_to(since_ms)

        result = []
        loop = asyncio.get_running_loop()
        waking, other = socket.socketpair()
        loop.add_reader(waking, stall)
        other.send(b"x")
        await asyncio.sleep(0.03)
        waking.close()
        other.close()
        return result[0]

    async def read(self, client):
        """Return all bytes that come until the connection ends."""
        client.setblocking(False)
        try:
            reader, writer = await asyncio.open_connection(sock=client)
        except OSError:
            return b"RESET"
        received = await read_all(reader)
        writer.close()
        return received

    def answer_first(self):
        """Let the server answer the first request that it got."""
        self.connections.sent[0][1].connection.data_received(self.answer)

    def runs_of(self, target):
        """Return how often a request was passed on."""
        return sum(
            transport.written.count(target) for _, transport in self.connections.sent
        )


async def start_clients(
    tmp_path, monkeypatch, kind, scripts, estimate_ms=100, **changes
):
    """Return clients of a router with these scripts that has got SIGTERM."""
    fleet = StoppingRouter(tmp_path, monkeypatch, (), kind, **changes)
    fleet.router.components.connections.scripts["a"] = list(scripts)
    for _ in range(MIN_SAMPLES):
        fleet.router.components.durations.record("r-1", estimate_ms)
    await fleet.start()
    return LateClients(fleet, ANSWERS[kind])


async def stop_router(clients):
    clients.fleet.stop()
    await asyncio.sleep(0.03)
    assert clients.fleet.router.stop_schedule.has_begun


class Entries:
    """Ways in which a request is read whole late; each returns its connection."""

    async def pipelined_early(clients, data):
        client = clients.connect()
        client.sendall(request_bytes(EARLY) + data)
        await asyncio.sleep(0.05)
        await stop_router(clients)
        await clients.move_to(BALANCER_REMOVAL_MS + 300)
        clients.answer_first()
        return client

    async def pipelined_late(clients, data):
        client = clients.connect()
        client.sendall(request_bytes(EARLY))
        await asyncio.sleep(0.05)
        await stop_router(clients)
        await clients.move_to(BALANCER_REMOVAL_MS + 300)
        client.sendall(data)
        await asyncio.sleep(0.03)
        clients.answer_first()
        return client

    async def head_in_parts(clients, data):
        client = clients.connect()
        client.sendall(data[:20])
        await asyncio.sleep(0.03)
        await stop_router(clients)
        await clients.move_to(BALANCER_REMOVAL_MS + 300)
        client.sendall(data[20:])
        return client

    async def body_in_parts(clients, data):
        client = clients.connect()
        client.sendall(data[:-2])
        await asyncio.sleep(0.03)
        await stop_router(clients)
        await clients.move_to(BALANCER_REMOVAL_MS + 300)
        client.sendall(data[-2:])
        return client

    async def new_connection_before_removal(clients, data):
        await stop_router(clients)
        await clients.move_to(BALANCER_REMOVAL_MS - 60)
        client = clients.connect()
        await asyncio.sleep(0.03)
        await clients.move_to(BALANCER_REMOVAL_MS + 10)
        client.sendall(data)
        return client

    async def new_connection_without_a_peer(clients, data):
        await stop_router(clients)
        clients.fleet.router.graceful_stop.stops_first = False
        await clients.move_to(BALANCER_REMOVAL_MS + 1_000)
        client = clients.connect()
        client.sendall(data)
        return client

    async def unread_after_a_stall(clients, data):
        await stop_router(clients)
        await clients.move_to(BALANCER_REMOVAL_MS - 500)
        client = clients.connect()
        await asyncio.sleep(0.03)
        await clients.stall_until(
            BALANCER_REMOVAL_MS + 500, lambda: client.sendall(data)
        )
        return client

    async def unaccepted_after_a_stall(clients, data):
        def connect():
            client = clients.connect()
            client.sendall(data)
            return client

        await stop_router(clients)
        await clients.move_to(BALANCER_REMOVAL_MS - 500)
        return await clients.stall_until(BALANCER_REMOVAL_MS + 500, connect)


ENTRIES = {
    name: entry for name, entry in vars(Entries).items() if not name.startswith("_")
}


class TestLateRequests:
    @pytest.mark.parametrize("entry", ENTRIES)
    @pytest.mark.parametrize("kind", RouteKind)
    @pytest.mark.parametrize("headers", [(), (SHORT_DEADLINE,)], ids=["long", "short"])
    async def test_a_late_request_is_served_or_refused_as_not_run(
        self, tmp_path, monkeypatch, entry, kind, headers
    ):
        """Guards against LOST: requests that are taken late in the grace and cut."""
        scripts = [(ANSWERS[kind],)] * 9
        if entry.startswith("pipelined"):
            scripts[0] = ()
        clients = await start_clients(tmp_path, monkeypatch, kind, scripts)
        data = request_bytes(LATE, *headers, body=b"body")
        client = await ENTRIES[entry](clients, data)
        reading = asyncio.create_task(clients.read(client))
        await asyncio.sleep(0.2)
        await clients.fleet.end()
        received = await reading
        fits = SHORT_DEADLINE in headers or kind is RouteKind.IDEMPOTENT
        assert parse_answers(received)[-1] == (200 if fits else 503)
        assert clients.runs_of(LATE) == fits


class TestSilentServers:
    SILENCE_MS = 1_200

    async def send_late(self, tmp_path, monkeypatch, kind, *headers):
        """Send the last byte of a request 1 s before the end of the work."""
        clients = await start_clients(tmp_path, monkeypatch, kind, [()] * 9)
        client = clients.connect()
        data = request_bytes(LATE, *headers, body=b"body")
        client.sendall(data[:-1])
        await stop_router(clients)
        await clients.move_to(WORK_MS - 1_000)
        client.sendall(data[-1:])
        reading = asyncio.create_task(clients.read(client))
        await asyncio.sleep(0.05)
        return clients, reading

    @pytest.mark.parametrize("kind", [RouteKind.AT_MOST_ONCE, RouteKind.STREAM])
    async def test_a_request_that_a_silence_would_leave_open_is_refused_as_not_run(
        self, tmp_path, monkeypatch, kind
    ):
        """Guards against "may have run" because a server was silent for a second."""
        clients, reading = await self.send_late(tmp_path, monkeypatch, kind)
        clients.fleet.clock.offset_ms += self.SILENCE_MS
        await clients.fleet.end()
        assert parse_answers(await reading) == [503]
        assert clients.runs_of(LATE) == 0

    @pytest.mark.parametrize("kind", RouteKind)
    async def test_a_server_that_answers_within_its_deadline_tells_the_outcome(
        self, tmp_path, monkeypatch, kind
    ):
        """Guards against answers that the stop cuts although they come in time."""
        clients, reading = await self.send_late(
            tmp_path, monkeypatch, kind, b"deadline: %d" % (WORK_MS - 500)
        )
        await clients.move_to(WORK_MS - 600)
        clients.answer_first()
        await asyncio.sleep(0.05)
        await clients.fleet.end()
        assert parse_answers(await reading) == [200]
        assert clients.runs_of(LATE) == 1

    async def test_a_safe_request_is_answered_at_the_end_of_the_work(
        self, tmp_path, monkeypatch
    ):
        """Guards against safe requests that are cut without an answer."""
        clients, reading = await self.send_late(
            tmp_path, monkeypatch, RouteKind.IDEMPOTENT
        )
        await clients.fleet.end()
        assert parse_answers(await reading) == [504]
        assert clients.runs_of(LATE) == 1


class TestLateConnections:
    async def test_a_connection_that_is_opened_late_is_not_accepted(
        self, tmp_path, monkeypatch
    ):
        """Guards against new requests for a router that its balancer has removed."""
        clients = await start_clients(
            tmp_path, monkeypatch, RouteKind.IDEMPOTENT, [(OK,)] * 9
        )
        await stop_router(clients)
        await clients.move_to(BALANCER_REMOVAL_MS + 300)
        await asyncio.sleep(2 * DRAIN_INTERVAL_MS / MS_PER_S)
        with pytest.raises(ConnectionRefusedError):
            clients.connect()
        await clients.fleet.end()


class TestResumptions:
    RESUMES = (b"resume: 1", b"resumes: 7")
    NEXT_EVENT = STREAM + chunk(b"id: 2\ndata: x\n\n") + END

    @pytest.mark.parametrize("entry", ENTRIES)
    @pytest.mark.parametrize("headers", [(), (SHORT_DEADLINE,)], ids=["long", "short"])
    async def test_a_late_resumption_is_served_or_refused_as_not_run(
        self, tmp_path, monkeypatch, entry, headers
    ):
        """Guards against LOST: streams that are taken up late in the grace and cut."""
        scripts = [(self.NEXT_EVENT,)] * 9
        if entry.startswith("pipelined"):
            scripts[0] = ()
        clients = await start_clients(
            tmp_path, monkeypatch, RouteKind.STREAM, scripts, resumable=True
        )
        clients.fleet.router.components.stream_origins.record(
            stream_key("7"), StreamOrigin("models", "v1"), 60_000
        )
        data = request_bytes(LATE, *self.RESUMES, *headers, body=b"body")
        client = await ENTRIES[entry](clients, data)
        reading = asyncio.create_task(clients.read(client))
        await asyncio.sleep(0.2)
        await clients.fleet.end()
        received = await reading
        fits = SHORT_DEADLINE in headers
        assert parse_answers(received)[-1] == (200 if fits else 503)
        assert clients.runs_of(LATE) == fits


class StandInServer:
    """A server on a loopback socket, whose bytes wait there while the loop is still."""

    def __init__(self, clients):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.requests = []
        components = clients.fleet.router.components
        components.connections = ConnectionPools()
        listed = server(
            "a", host="127.0.0.1", port=self.listener.getsockname()[1], slots=64
        )
        components.servers.update(listing(listed, revision=2), 0)
        self.task = asyncio.create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            self.requests.append((connection, await loop.sock_recv(connection, 65_536)))

    async def close(self):
        self.task.cancel()
        await asyncio.wait([self.task])
        for connection, _ in self.requests:
            connection.close()
        self.listener.close()


class TestStalls:
    async def send(self, clients, sent_at_ms, *headers):
        """Send a request whose last byte comes at a time after SIGTERM."""
        stand_in = StandInServer(clients)
        client = clients.connect()
        data = request_bytes(LATE, *headers, body=b"body")
        client.sendall(data[:-1])
        await asyncio.sleep(0.02)
        await stop_router(clients)
        await clients.move_to(sent_at_ms)
        client.sendall(data[-1:])
        reading = asyncio.create_task(clients.read(client))
        await asyncio.sleep(0.05)
        assert len(stand_in.requests) == 1
        return stand_in, reading

    async def answer_in_stall(self, clients, stand_in, kind, parts, stall_ms):
        """Let the server answer, or end its answer, while the router stands still."""
        answer = ANSWERS[kind]
        connection, _ = stand_in.requests[0]
        if parts == 2:
            connection.sendall(answer[:-8])
            answer = answer[-8:]
            await asyncio.sleep(0.05)
        clients.shift_to(stall_ms[0])
        await clients.stall_until(stall_ms[1], lambda: connection.sendall(answer))

    async def end(self, clients, stand_in):
        await asyncio.sleep(0.05)
        await clients.fleet.end()
        await stand_in.close()
        assert len(stand_in.requests) == 1

    @pytest.mark.parametrize("kind", RouteKind)
    @pytest.mark.parametrize("parts", [1, 2])
    @pytest.mark.parametrize(
        ("sent_at_ms", "stall_ms", "ends_at_ms"),
        [
            (1_900, (BALANCER_REMOVAL_MS - 500, BALANCER_REMOVAL_MS + 500), 6_000),
            (5_500, (WORK_MS - 1_900, WORK_MS - 900), WORK_MS - 500),
            (5_900, (WORK_MS - 1_500, WORK_MS - 500), WORK_MS - 700),
        ],
        ids=["removal", "in time", "beyond the deadline"],
    )
    async def test_an_answer_that_came_in_a_stall_within_the_grace_is_delivered(
        self, tmp_path, monkeypatch, kind, parts, sent_at_ms, stall_ms, ends_at_ms
    ):
        """Guards against answers that are cut because the router stood still."""
        clients = await start_clients(tmp_path, monkeypatch, kind, [])
        deadline = b"deadline: %d" % ends_at_ms
        stand_in, reading = await self.send(clients, sent_at_ms, deadline)
        await self.answer_in_stall(clients, stand_in, kind, parts, stall_ms)
        await self.end(clients, stand_in)
        assert parse_answers(await reading) == [200]

    @pytest.mark.parametrize("parts", [1, 2])
    @pytest.mark.parametrize(
        ("kind", "sent_at_ms"),
        [
            *((kind, BALANCER_REMOVAL_MS - 300) for kind in RouteKind),
            (RouteKind.IDEMPOTENT, WORK_MS - 1_000),
        ],
    )
    async def test_an_answer_that_came_in_a_stall_at_the_end_is_delivered(
        self, tmp_path, monkeypatch, kind, sent_at_ms, parts
    ):
        """Guards against whole answers that wait unread when the work ends."""
        clients = await start_clients(tmp_path, monkeypatch, kind, [])
        stand_in, reading = await self.send(clients, sent_at_ms)
        stall_ms = (WORK_MS - 700, WORK_MS + 300)
        await self.answer_in_stall(clients, stand_in, kind, parts, stall_ms)
        await self.end(clients, stand_in)
        assert parse_answers(await reading) == [200]

    @pytest.mark.parametrize("kind", RouteKind)
    @pytest.mark.parametrize("headers", [(), (b"deadline: 100",)])
    async def test_a_request_that_came_in_a_stall_at_the_end_is_not_passed_on(
        self, tmp_path, monkeypatch, kind, headers
    ):
        """Guards against requests that are taken after the end of the work and cut."""
        clients = await start_clients(tmp_path, monkeypatch, kind, [(OK,)] * 9)
        client = clients.connect()
        data = request_bytes(LATE, *headers, body=b"body")
        client.sendall(data[:-1])
        await stop_router(clients)
        await clients.move_to(WORK_MS - 700)
        reading_from = asyncio.create_task(clients.read(client))
        await clients.stall_until(WORK_MS + 300, lambda: client.send(data[-1:]))
        await clients.fleet.end()
        received = await reading_from
        assert clients.runs_of(LATE) == 0
        assert received in (b"", b"RESET") or parse_answers(received) == [503]
