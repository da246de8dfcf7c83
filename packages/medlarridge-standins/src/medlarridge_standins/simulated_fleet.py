"""Membership and configuration of many nodes on a simulated network."""

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.accepted_configuration import Configuration
from medlarridge._internal.coordination.configuration import (
    AskPeers,
    ConfigurationAction,
    ConfigurationHolder,
    FetchDelta,
    ReadStatus,
    ReadStore,
)
from medlarridge._internal.coordination.member_events import (
    Action,
    Fetch,
    ListedVm,
    NewerGeneration,
    Send,
)
from medlarridge._internal.coordination.membership import Membership
from medlarridge._internal.identity import (
    Instance,
    Member,
    Role,
    new_instance_number,
)
from medlarridge._internal.protocol.gossip import (
    ConfigurationDelta,
    ConfigurationRequest,
    ExchangeReply,
    ExchangeRequest,
    decode_gossip,
    decode_reply,
    encode,
)

TICK_MS = 250
POOL = "p"
DATAGRAM_OVERHEAD_BYTES = 9 + 28
"""Kind, keyed digest, and the headers of UDP and IP."""
EXCHANGE_OVERHEAD_BYTES = 500
"""Digests, nonce, and TCP and IP headers of a connection with one exchange."""


@dataclass
class Traffic:
    """What all nodes together sent and spent."""

    datagrams: int = 0
    exchanges: int = 0
    bytes: int = 0
    max_payload_bytes: int = 0
    cpu_ns: int = 0
    store_reads: int = 0


class SimulatedNode:
    """One simulated process."""

    def __init__(
        self, fleet: "SimulatedFleet", member: Member, incarnation: int
    ) -> None:
        seed = fleet.random.getrandbits(64)
        self.address = member.instance.address
        self.membership = Membership(member, fleet.clock, Random(seed), incarnation)
        self.configuration = ConfigurationHolder(fleet.clock, Random(seed + 1))
        self.resumes_at_ms = 0

    @property
    def member(self) -> Member:
        """Return what the node announces."""
        return self.membership.own_record.member


@dataclass
class SimulatedFleet:
    """Nodes, links with latency and faults, one clock and one store object.

    ``blocked`` holds directed links on which everything is lost.
    """

    seed: int
    loss: float = 0.0
    latency_ms: int = 1
    region_latency_ms: int = 40
    store_up: bool = True
    store_value: bytes | None = None
    blocked: Callable[[Member, Member], bool] = lambda source, target: False
    clock: ManualClock = field(default_factory=ManualClock)
    nodes: dict[str, SimulatedNode] = field(default_factory=dict)
    traffic: Traffic = field(default_factory=Traffic)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0

    # Nodes.

    def add(
        self,
        index: int,
        data_centre: str = "a",
        region: str = "r",
        role: Role = Role.SIDECAR,
        incarnation: int = 1,
    ) -> SimulatedNode:
        """Start a process at the address with the given index."""
        address = f"10.{index // 62500}.{index // 250 % 250}.{index % 250}:8000"
        number = new_instance_number(self.random)
        instance = Instance(address, number, data_centre, region, role)
        pool = POOL if role is Role.SIDECAR else ""
        node = SimulatedNode(self, Member(instance, pool), incarnation)
        self.nodes[address] = node
        self.schedule(self.random.randrange(TICK_MS), lambda: self.tick(node))
        return node

    def add_many(self, count: int, data_centres: int = 4, regions: int = 2) -> None:
        """Start processes spread over data centres and regions."""
        for index in range(count):
            place = index % data_centres
            self.add(index, f"dc{place}", f"region{place % regions}")

    def synchronise_members(self) -> None:
        """Give every node the records of all others, as after a long run."""
        announcements = [
            n.membership.own_record.announcement() for n in self.nodes.values()
        ]
        for node in self.nodes.values():
            membership = node.membership
            for announcement in announcements:
                if announcement.member.instance.address != node.address:
                    membership.apply(announcement, "", spread=False)
            membership.list_sync.synchronised = True
            membership.update_queue.queued.clear()

    def vm_list(self, leaving: tuple[str, ...] = ()) -> list[ListedVm]:
        """Return the platform's list of the nodes that run now."""
        return [
            ListedVm(
                node.address,
                node.member.instance.data_centre,
                node.member.instance.region,
                node.member.instance.role,
                "leaving" if node.address in leaving else "live",
            )
            for node in self.nodes.values()
        ]

    def publish_vm_list(self, leaving: tuple[str, ...] = ()) -> None:
        """Give every node the current VM list."""
        vms = self.vm_list(leaving)
        for node in self.nodes.values():
            node.membership.update_vm_list(vms)

    def stop(self, *nodes: SimulatedNode) -> None:
        """End processes without a word."""
        for node in nodes:
            del self.nodes[node.address]

    def nodes_in(self, data_centre: str) -> list[SimulatedNode]:
        """Return the nodes of a data centre."""
        return [
            node
            for node in self.nodes.values()
            if node.member.instance.data_centre == data_centre
        ]

    def pause(self, node: SimulatedNode, duration_ms: int) -> None:
        """Stop a process for a while; its datagrams are lost."""
        node.resumes_at_ms = self.clock.now_ms() + duration_ms

    # Time.

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Plan an action."""
        self.order += 1
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (due_ms, self.order, action))

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.events and self.events[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self.events)
            self.clock.advance(due_ms - self.clock.now_ms())
            action()
        self.clock.advance(end_ms - self.clock.now_ms())

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> int | None:
        """Let time pass until a condition holds; return how long that took."""
        start_ms = self.clock.now_ms()
        while self.clock.now_ms() - start_ms < limit_ms:
            if condition():
                return self.clock.now_ms() - start_ms
            self.run(TICK_MS // 5)
        return None

    def tick(self, node: SimulatedNode) -> None:
        """Drive the timers of a node."""
        if self.nodes.get(node.address) is not node:
            return
        now_ms = self.clock.now_ms()
        if now_ms < node.resumes_at_ms:
            self.schedule(node.resumes_at_ms - now_ms, lambda: self.tick(node))
            return
        self.schedule(TICK_MS, lambda: self.tick(node))
        self.handle_membership_event(node, node.membership.tick)
        node.configuration.nodes = node.membership.size
        if node.membership.synchronised:
            node.configuration.peers = node.membership.size - 1
        self.handle_configuration_event(node, node.configuration.tick)

    # Network.

    def handle_membership_event(
        self, node: SimulatedNode, event: Callable[[], list[Action]]
    ) -> None:
        """Handle an event of membership at a node and perform its actions."""
        started = time.perf_counter_ns()
        actions = event()
        sends = [(a.address, encode(a.message)) for a in actions if type(a) is Send]
        self.traffic.cpu_ns += time.perf_counter_ns() - started
        for address, data in sends:
            self.transmit(node, address, data)
        for action in actions:
            if isinstance(action, Fetch):
                self.request_exchange(
                    node, action.address, action.request, fetch=action
                )
            elif isinstance(action, NewerGeneration):
                self.observe_generation(node, action.generation, action.address)

    def observe_generation(
        self, node: SimulatedNode, generation: int, address: str
    ) -> None:
        """Let a node see a generation in a message of another process."""
        self.handle_configuration_event(
            node, lambda: node.configuration.record_peer_generation(generation, address)
        )

    def transmit(self, node: SimulatedNode, address: str, data: bytes) -> None:
        """Send a datagram."""
        size = len(data) + DATAGRAM_OVERHEAD_BYTES
        self.traffic.datagrams += 1
        self.traffic.bytes += size
        self.traffic.max_payload_bytes = max(self.traffic.max_payload_bytes, len(data))
        if self.random.random() < self.loss or not self.is_reachable(node, address):
            return
        delay_ms = self.one_way_latency_ms(node, address)
        self.schedule(delay_ms, lambda: self.deliver(node.address, address, data))

    def deliver(self, source: str, address: str, data: bytes) -> None:
        """Hand a datagram to its receiver."""
        node = self.nodes.get(address)
        if node is None or self.clock.now_ms() < node.resumes_at_ms:
            return
        self.handle_membership_event(
            node,
            lambda: node.membership.receive(source, decode_gossip(data, source)),
        )

    def is_reachable(self, node: SimulatedNode, address: str) -> bool:
        """Return whether a message would arrive."""
        peer = self.nodes.get(address)
        return peer is not None and not self.blocked(node.member, peer.member)

    def one_way_latency_ms(self, node: SimulatedNode, address: str) -> int:
        """Return the one-way latency."""
        own, peer = node.member.instance, self.nodes[address].member.instance
        same = own.region == peer.region
        return self.latency_ms if same else self.region_latency_ms

    def request_exchange(
        self,
        node: SimulatedNode,
        address: str,
        request: ExchangeRequest,
        fetch: Fetch | None,
    ) -> None:
        """Send a request over the exchange."""
        reply = None
        peer = self.nodes.get(address)
        if (
            peer is not None
            and self.clock.now_ms() >= peer.resumes_at_ms
            and self.is_reachable(node, address)
            and self.is_reachable(peer, node.address)
        ):
            started = time.perf_counter_ns()
            data = encode(self.serve_exchange(peer, request))
            self.traffic.cpu_ns += time.perf_counter_ns() - started
            self.traffic.exchanges += 1
            self.traffic.bytes += len(data) + EXCHANGE_OVERHEAD_BYTES
            reply = decode_reply(data, address)
        delay_ms = 3 * self.one_way_latency_ms(node, address) if reply else 3000
        self.schedule(delay_ms, lambda: self.receive_reply(node, address, reply, fetch))

    def receive_reply(
        self,
        node: SimulatedNode,
        address: str,
        reply: ExchangeReply | None,
        fetch: Fetch | None,
    ) -> None:
        """Hand a reply to the node that asked."""
        if self.nodes.get(node.address) is not node:
            return
        if fetch is not None:
            self.handle_membership_event(
                node, lambda: node.membership.receive_reply(fetch, reply)
            )
            return
        delta = reply if isinstance(reply, ConfigurationDelta) else None
        self.handle_configuration_event(
            node, lambda: node.configuration.peer_replied(address, delta)
        )

    def serve_exchange(
        self, peer: SimulatedNode, request: ExchangeRequest
    ) -> ExchangeReply:
        """Answer a request at a node."""
        if isinstance(request, ConfigurationRequest):
            return peer.configuration.delta_since(request.since)
        reply = peer.membership.serve(request)
        assert reply is not None
        return reply

    # Configuration.

    def store_configuration(self, configuration: Configuration) -> None:
        """Put a configuration into the store."""
        self.store_value = configuration.to_json()

    def handle_configuration_event(
        self, node: SimulatedNode, event: Callable[[], list[ConfigurationAction]]
    ) -> None:
        """Handle an event of configuration at a node and perform its actions."""
        started = time.perf_counter_ns()
        actions = event()
        self.traffic.cpu_ns += time.perf_counter_ns() - started
        node.membership.generation = node.configuration.generation
        for action in actions:
            if isinstance(action, ReadStore):
                self.traffic.store_reads += 1
                self.schedule(self.latency_ms, lambda: self.read_store(node))
            elif isinstance(action, ReadStatus):
                self.traffic.store_reads += 1
                self.schedule(self.latency_ms, lambda: self.read_status(node))
            elif isinstance(action, AskPeers):
                for address in node.membership.random_peers(action.count):
                    request = ConfigurationRequest(action.since)
                    self.request_exchange(node, address, request, None)
            elif isinstance(action, FetchDelta):
                request = ConfigurationRequest(action.since)
                self.request_exchange(node, action.address, request, None)
            else:
                self.handle_membership_event(node, node.membership.push)

    def read_status(self, node: SimulatedNode) -> None:
        """Hand the generation in the store's status object to a node."""
        view = node.configuration
        if not self.store_up:
            self.handle_configuration_event(node, view.store_failed)
        elif self.store_value is not None:
            stored = Configuration.from_json(self.store_value, "store")
            self.handle_configuration_event(
                node, lambda: view.status_replied(stored.generation)
            )

    def read_store(self, node: SimulatedNode) -> None:
        """Hand the store's answer to a node."""
        view = node.configuration
        if self.store_up:
            self.handle_configuration_event(
                node, lambda: view.store_replied(self.store_value)
            )
        else:
            self.handle_configuration_event(node, view.store_failed)
