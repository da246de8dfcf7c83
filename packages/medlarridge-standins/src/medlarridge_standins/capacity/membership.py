"""CPU time, memory and traffic of the membership protocol and its transports."""

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
FLEET_SIZES = (10, 1000, 4800)
ROUNDS = 2000
ROUND_MS = 1000
TICKS_PER_ROUND = 4
DATAGRAM_COUNT = 5000
EXCHANGE_COUNT = 500
CONNECTION_COUNT = 100
KEY = b"key of the capacity measurements"
FIRST_PORT = 17_500
NS_PER_US = 1000


def target_member(index: int) -> Member:
    """Return a process of a fleet of the target size."""
    address = f"10.{index // 62500}.{index // 250 % 250}.{index % 250}:8000"
    data_centre = f"data-centre-{index % 12}"
    region = f"region-name-{index % 5}"
    role = Role.ROUTER if index % 4 == 0 else Role.SIDECAR
    pool = "" if role is Role.ROUTER else f"souk-model-{index % 8}"
    return Member(Instance(address, index + 1, data_centre, region, role), pool)


def build_membership(count: int) -> tuple[Membership, ManualClock]:
    """Return the membership of a node with a number of known members, and its clock."""
    clock = ManualClock()
    membership = Membership(target_member(0), clock, Random(SEED))
    for index in range(1, count):
        # Decoding gives each record its own strings, as for records from peers.
        data = encode(MemberRecord(target_member(index), 1))
        record = msgspec.msgpack.decode(data, type=MemberRecord)
        membership.apply(record, "", spread=False)
    membership.list_sync.synchronised = True
    membership.update_queue.queued.clear()
    return membership, clock


@capacity.scenario("membership-memory")
def memory_per_member() -> list[Row]:
    """Measure the memory of the member list."""
    logger.remove()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    membership, _ = build_membership(FLEET_SIZES[-1])
    membership.tick()
    pools = {m.member.pool for m in membership.table.records.values()}
    for pool in pools:
        membership.members_of(pool)
    used_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    return [
        Row("memory per known member", used_bytes / FLEET_SIZES[-1], "bytes"),
        Row(
            f"memory of a list of {FLEET_SIZES[-1]} members", used_bytes / 2**20, "MiB"
        ),
    ]


@capacity.scenario("membership-round")
def gossip_round() -> list[Row]:
    """Measure one second of a node: four ticks, its own probe and a peer's probe."""
    logger.remove()
    rows = []
    for count in FLEET_SIZES:
        membership, clock = build_membership(count)
        random = Random(SEED)
        sent = received = cpu_ns = 0
        for sequence in range(ROUNDS):
            peer = target_member(random.randrange(1, count)).instance
            ping = encode(Ping(sequence, peer.number, 1, 1, 0, membership.table.digest))
            received += len(ping) + DATAGRAM_OVERHEAD_BYTES
            started = time.perf_counter_ns()
            actions = membership.receive(
                peer.address, decode_gossip(ping, peer.address)
            )
            for _ in range(TICKS_PER_ROUND):
                clock.advance(ROUND_MS // TICKS_PER_ROUND)
                actions += membership.tick()
            encoded = [encode(a.message) for a in actions if isinstance(a, Send)]
            cpu_ns += time.perf_counter_ns() - started
            sent += sum(len(data) + DATAGRAM_OVERHEAD_BYTES for data in encoded)
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


def mean_cpu_us(work: Callable[[], Awaitable[None]], count: int) -> float:
    """Run ``work``; return the CPU time in microseconds per one of ``count`` units."""

    async def timed() -> float:
        started = time.process_time_ns()
        await work()
        return (time.process_time_ns() - started) / NS_PER_US / count

    return anyio.run(timed)


@capacity.scenario("datagram")
def datagram() -> list[Row]:
    """Measure sender and receiver of authenticated datagrams over loopback."""
    logger.remove()
    received = 0
    sender_address, receiver_address = (
        f"127.0.0.1:{FIRST_PORT}",
        f"127.0.0.1:{FIRST_PORT + 10}",
    )

    async def work() -> None:
        arrived = anyio.Event()

        async def handle(source: str, payload: bytes) -> None:
            nonlocal received
            received += 1
            arrived.set()

        sender, receiver = (
            DatagramEndpoint(sender_address, KEY),
            DatagramEndpoint(receiver_address, KEY),
        )
        receiver.register(1, handle)
        await sender.open()
        await receiver.open()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(receiver.run)
            for _ in range(DATAGRAM_COUNT):
                arrived = anyio.Event()
                await sender.send(receiver_address, 1, bytes(100))
                with anyio.move_on_after(1):
                    await arrived.wait()
            tasks.cancel_scope.cancel()
        await sender.close()
        await receiver.close()

    datagram_us = mean_cpu_us(work, DATAGRAM_COUNT)
    return [
        Row("CPU per datagram, both ends", datagram_us, "us"),
        Row("datagrams that arrived", 100 * received / DATAGRAM_COUNT, "%"),
    ]


@capacity.scenario("exchange")
def exchange() -> list[Row]:
    """Measure client and server of pynng exchanges over loopback."""
    logger.remove()
    membership, _ = build_membership(FLEET_SIZES[-1])
    address = f"127.0.0.1:{FIRST_PORT + 20}"

    def reply(request: ExchangeRequest) -> ExchangeReply:
        if isinstance(request, DigestRequest):
            return DigestReply(membership.table.digest_bytes())
        raise AssertionError

    async def run(client: ExchangeClient, count: int, reconnect: bool) -> None:
        server = ExchangeServer(address, KEY, reply)
        server.open()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            for _ in range(count):
                await client.request(address, DigestRequest())
                if reconnect:
                    client.close()
            tasks.cancel_scope.cancel()
        client.close()
        server.close()

    reusing_client = ExchangeClient(KEY, SystemClock())
    reconnecting_client = ExchangeClient(KEY, SystemClock())
    return [
        Row(
            "CPU per exchange of 1 KB on a kept connection, both ends",
            mean_cpu_us(
                lambda: run(reusing_client, EXCHANGE_COUNT, False), EXCHANGE_COUNT
            ),
            "us",
        ),
        Row(
            "CPU per exchange of 1 KB on a new connection, both ends",
            mean_cpu_us(
                lambda: run(reconnecting_client, CONNECTION_COUNT, True),
                CONNECTION_COUNT,
            ),
            "us",
        ),
    ]
