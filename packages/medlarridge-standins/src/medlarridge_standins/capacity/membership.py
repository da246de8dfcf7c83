"""Cost of membership and its transports per unit of work."""

import time
import tracemalloc
from collections.abc import Awaitable, Callable
from random import Random

import anyio
import msgspec
from loguru import logger

from medlarridge._internal.clock import ManualClock, SystemClock
from medlarridge._internal.coordination.member_events import Send
from medlarridge._internal.coordination.membership import Membership
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.protocol.gossip import (
    Ack,
    DigestReply,
    DigestRequest,
    ExchangeReply,
    ExchangeRequest,
    MemberRecord,
    Ping,
    decode_gossip,
    encode,
)
from medlarridge._internal.transport.datagrams import DatagramEndpoint
from medlarridge._internal.transport.exchange import ExchangeClient, ExchangeServer

from ..report import Row
from ..simulated_fleet import DATAGRAM_OVERHEAD_BYTES
from . import capacity

SEED = 30
SIZES = (10, 1000, 4800)
ROUNDS = 2000
ROUND_MS = 1000
TICKS = 4
DATAGRAMS = 5000
EXCHANGES = 500
CONNECTIONS = 100
KEY = b"key of the capacity measurements"
FIRST_PORT = 17_500
NS_PER_US = 1000


def member(index: int) -> Member:
    """Return the announcement of a process of the target fleet."""
    address = f"10.{index // 62500}.{index // 250 % 250}.{index % 250}:8000"
    data_centre = f"data-centre-{index % 12}"
    region = f"region-name-{index % 5}"
    role = Role.ROUTER if index % 4 == 0 else Role.SIDECAR
    pool = "" if role is Role.ROUTER else f"souk-model-{index % 8}"
    return Member(Instance(address, index + 1, data_centre, region, role), pool)


def node(count: int) -> tuple[Membership, ManualClock]:
    """Return a node that knows a number of members."""
    clock = ManualClock()
    membership = Membership(member(0), clock, Random(SEED))
    for index in range(1, count):
        # Decoded records share no strings, as those received from peers.
        data = encode(MemberRecord(member(index), 1))
        announcement = msgspec.msgpack.decode(data, type=MemberRecord)
        membership.apply(announcement, "", spread=False)
    membership.list_sync.synchronised = True
    membership.update_queue.queued.clear()
    return membership, clock


@capacity.scenario("membership-memory")
def memory_per_member() -> list[Row]:
    """Measure the memory of the member list."""
    logger.remove()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    membership, _ = node(SIZES[-1])
    membership.tick()
    pools = {m.member.pool for m in membership.table.records.values()}
    for pool in pools:
        membership.members_of(pool)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return [
        Row("memory per known member", used / SIZES[-1], "bytes"),
        Row(f"memory of a list of {SIZES[-1]} members", used / 2**20, "MiB"),
    ]


@capacity.scenario("membership-round")
def gossip_round() -> list[Row]:
    """Measure a second of a node: four ticks, its probe and a peer's probe."""
    logger.remove()
    rows = []
    for count in SIZES:
        membership, clock = node(count)
        random = Random(SEED)
        sent = received = cpu_ns = 0
        for sequence in range(ROUNDS):
            peer = member(random.randrange(1, count)).instance
            ping = encode(Ping(sequence, peer.number, 1, 1, 0, membership.table.digest))
            received += len(ping) + DATAGRAM_OVERHEAD_BYTES
            started = time.perf_counter_ns()
            actions = membership.receive(
                peer.address, decode_gossip(ping, peer.address)
            )
            for _ in range(TICKS):
                clock.advance(ROUND_MS // TICKS)
                actions += membership.tick()
            out = [encode(a.message) for a in actions if isinstance(a, Send)]
            cpu_ns += time.perf_counter_ns() - started
            sent += sum(len(data) + DATAGRAM_OVERHEAD_BYTES for data in out)
            for action in actions:
                if not isinstance(action, Send) or not isinstance(action.message, Ping):
                    continue
                target = membership.table.get(action.address)
                ack = encode(
                    Ack(
                        action.message.sequence,
                        target.number,
                        1,
                        True,
                        0,
                        membership.table.digest,
                    )
                )
                received += len(ack) + DATAGRAM_OVERHEAD_BYTES
                started = time.perf_counter_ns()
                membership.receive(action.address, decode_gossip(ack, action.address))
                cpu_ns += time.perf_counter_ns() - started
        rows += [
            Row(
                f"gossip round, {count} members: CPU", cpu_ns / NS_PER_US / ROUNDS, "us"
            ),
            Row(
                f"gossip round, {count} members: sent and received",
                (sent + received) / ROUNDS,
                "bytes",
            ),
        ]
    return rows


def cpu_us(work: Callable[[], Awaitable[None]], count: int) -> float:
    """Return the CPU time of this process per unit of work."""

    async def timed() -> float:
        started = time.process_time_ns()
        await work()
        return (time.process_time_ns() - started) / NS_PER_US / count

    return anyio.run(timed)


@capacity.scenario("datagram")
def datagram() -> list[Row]:
    """Measure authenticated datagrams over loopback, both ends."""
    logger.remove()
    received = 0
    here, there = f"127.0.0.1:{FIRST_PORT}", f"127.0.0.1:{FIRST_PORT + 10}"

    async def work() -> None:
        arrived = anyio.Event()

        async def handle(source: str, payload: bytes) -> None:
            nonlocal received
            received += 1
            arrived.set()

        sender, receiver = DatagramEndpoint(here, KEY), DatagramEndpoint(there, KEY)
        receiver.register(1, handle)
        await sender.open()
        await receiver.open()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(receiver.run)
            for _ in range(DATAGRAMS):
                arrived = anyio.Event()
                await sender.send(there, 1, bytes(100))
                with anyio.move_on_after(1):
                    await arrived.wait()
            tasks.cancel_scope.cancel()
        await sender.close()
        await receiver.close()

    value = cpu_us(work, DATAGRAMS)
    return [
        Row("CPU per datagram, both ends", value, "us"),
        Row("datagrams that arrived", 100 * received / DATAGRAMS, "%"),
    ]


@capacity.scenario("exchange")
def exchange() -> list[Row]:
    """Measure pynng exchanges over loopback, both ends."""
    logger.remove()
    membership, _ = node(SIZES[-1])
    address = f"127.0.0.1:{FIRST_PORT + 20}"

    def answer(request: ExchangeRequest) -> ExchangeReply:
        if isinstance(request, DigestRequest):
            return DigestReply(membership.table.digest_bytes())
        raise AssertionError

    async def run(client: ExchangeClient, count: int, fresh: bool) -> None:
        server = ExchangeServer(address, KEY, answer)
        server.open()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            for _ in range(count):
                await client.request(address, DigestRequest())
                if fresh:
                    client.close()
            tasks.cancel_scope.cancel()
        client.close()
        server.close()

    kept = ExchangeClient(KEY, SystemClock())
    fresh = ExchangeClient(KEY, SystemClock())
    return [
        Row(
            "CPU per exchange of 1 KB on a kept connection, both ends",
            cpu_us(lambda: run(kept, EXCHANGES, False), EXCHANGES),
            "us",
        ),
        Row(
            "CPU per exchange of 1 KB on a new connection, both ends",
            cpu_us(lambda: run(fresh, CONNECTIONS, True), CONNECTIONS),
            "us",
        ),
    ]
