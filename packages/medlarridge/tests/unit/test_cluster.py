import socket
from random import Random

import anyio
import msgspec
from result import Ok

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.cluster import (
    LEAVING_DATAGRAM,
    VM_LIST_GRACE_MS,
    ClusterNode,
)
from medlarridge._internal.coordination.member_events import ListedVm
from medlarridge._internal.identity import Instance, Member, Role
from medlarridge._internal.state.keys import POOLS_TABLE, ROUTES_TABLE
from medlarridge._internal.state.memory import MemoryStore

KEY = b"a shared key of the test fleet"
TIMEOUT_S = 30


class VmList:
    def __init__(self, addresses):
        self.addresses = addresses

    async def vms(self):
        return Ok([ListedVm(address, "a", "r") for address in self.addresses])


def free_addresses(count):
    """Return loopback addresses whose port and next port are free."""
    ports = []
    while len(ports) < count:
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.0.0.1", 0))
            port = first.getsockname()[1]
            try:
                second.bind(("127.0.0.1", port + 1))
            except OSError:
                continue
            if all(abs(port - other) > 1 for other in ports):
                ports.append(port)
    return [f"127.0.0.1:{port}" for port in ports]


async def wait_until(condition):
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.02)


class TestClusterNode:
    async def test_processes_share_members_configuration_and_departures(self):
        """Guards against decisions of membership and configuration that do not reach
        the sockets."""
        addresses = free_addresses(3)
        store = MemoryStore()
        pools = {"p": {"kind": "engine", "data_centres": ["a"]}}
        await store.put(POOLS_TABLE, msgspec.json.encode(pools), 0)
        await store.put(ROUTES_TABLE, msgspec.json.encode({"r": {"pools": ["p"]}}), 0)
        nodes = []
        received = []
        for seed, address in enumerate(addresses):
            instance = Instance(address, seed + 1, "a", "r", Role.SIDECAR)
            member = Member(instance, "p")
            node = ClusterNode(
                member, KEY, store, VmList(addresses), random=Random(seed)
            )
            nodes.append(node)
        nodes[0].holds_lease = lambda: True

        async def handle(source, payload):
            received.append((source, payload))

        nodes[0].register(9, handle)
        async with anyio.create_task_group() as tasks:
            scopes = []
            for node in nodes:
                scope = anyio.CancelScope()
                scopes.append(scope)

                async def run(node=node, scope=scope):
                    with scope:
                        await node.run()

                tasks.start_soon(run)
            await wait_until(lambda: all(n.membership.size == 3 for n in nodes))
            await wait_until(
                lambda: all(n.configuration.generation == 1 for n in nodes)
            )
            assert all(n.configuration.ready for n in nodes)
            await nodes[1].send(addresses[0], 9, b"report")
            await wait_until(lambda: received)
            assert received == [(addresses[1], b"report")]
            await nodes[1].set_self(draining=True)
            others = (nodes[0], nodes[2])
            await wait_until(
                lambda: (
                    not any(
                        n.membership.is_usable(nodes[1].membership.own_record.member)
                        for n in others
                    )
                )
            )
            scopes[1].cancel()
            await wait_until(lambda: all(n.membership.size == 2 for n in others))
            tasks.cancel_scope.cancel()


class TestVmList:
    def node(self, clock, vms):
        instance = Instance("10.0.0.1:7000", 1, "a", "r", Role.SIDECAR)
        node = ClusterNode(
            Member(instance, "p"), KEY, MemoryStore(), vms, clock, Random(1)
        )
        node.seen = []
        node.on_listed_leaving = node.seen.append
        return node

    async def test_a_leaving_vm_is_notified_and_reads_the_list_itself(self):
        """Guards against new work on a leaving VM whose process reads the list rarely."""
        clock, vms = ManualClock(), VmList([])
        node, sent = self.node(clock, vms), []

        async def send(address, kind, payload):
            sent.append((address, kind))

        node.send = send
        listed = [
            ListedVm("10.0.0.1:7000", "a", "r", state="leaving"),
            ListedVm("10.0.0.2:7000", "a", "r", state="leaving"),
            ListedVm("10.0.0.3:7000", "a", "r"),
        ]
        vms.vms = lambda: answer(listed)
        clock.advance(VM_LIST_GRACE_MS)
        await node.read_vm_list()
        await node.read_vm_list()
        assert sent == [("10.0.0.2:7000", LEAVING_DATAGRAM)]
        assert node.seen == [True]
        listed[0] = ListedVm("10.0.0.1:7000", "a", "r")
        await node.read_vm_list()
        assert node.seen == [True, False]

    async def test_a_new_process_ignores_the_entry_of_the_previous_vm(self):
        """Guards against a drain caused by the list entry of the previous VM at a reused
        address."""
        clock, vms = ManualClock(), VmList([])
        node = self.node(clock, vms)
        vms.vms = lambda: answer([ListedVm("10.0.0.1:7000", "a", "r", state="leaving")])
        clock.advance(VM_LIST_GRACE_MS - 1)
        await node.read_vm_list()
        assert node.seen == []
        clock.advance(1)
        await node.read_vm_list()
        assert node.seen == [True]


async def answer(listed):
    return Ok(listed)
