"""I/O of membership and configuration, which every daemon runs."""

from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random, SystemRandom
from typing import Protocol

import anyio
import anyio.abc
import msgspec
from result import Err, Result

from .clock import MS_PER_S, Clock, SystemClock, WallClock
from .coordination.acceptance import Acceptor
from .coordination.accepted_configuration import TableStatus
from .coordination.configuration import (
    AskPeers,
    ConfigurationAction,
    ConfigurationHolder,
    FetchDelta,
    ReadStatus,
    ReadStore,
)
from .coordination.member_events import (
    Action,
    Fetch,
    ListedVm,
    NewerGeneration,
    Send,
)
from .coordination.membership import Membership
from .errors import CodecError, StoreError, StoreErrorKind, TransportError
from .events import register
from .identity import Member
from .log import log_event
from .protocol.gossip import (
    ConfigurationDelta,
    ConfigurationRequest,
    ExchangeFailure,
    ExchangeReply,
    ExchangeRequest,
    decode_gossip,
    encode,
)
from .state.keys import ACCEPTED_CONFIGURATION, TABLE_STATUS
from .state.store import ObjectStore, StoredObject
from .transport.datagrams import DatagramEndpoint, Handler
from .transport.exchange import ExchangeClient, ExchangeServer

GOSSIP_DATAGRAM = 1
LEAVING_DATAGRAM = 6
"""Notice that the platform lists the receiver's VM as leaving."""
TICK_INTERVAL_MS = 250
ACCEPT_INTERVAL_MS = 1000
MIN_VM_LIST_INTERVAL_MS = 2000
VM_READS_PER_S = 4
"""Reads of the VM list by the whole fleet. The list has 350 KB at the target size, so
each process reads it rarely, and the first reader notifies the leaving VMs."""
LISTED_LEAVING_INTERVAL_MS = 10_000
VM_LIST_GRACE_MS = 60_000
"""The list lags, so for a while after the start of a process it may still show the
previous VM at its address."""
MAX_LEAVING_NOTICES = 50
VM_LIST_RETRY_MS = 500
LEAVE_TIMEOUT_S = 1
STORE_TIMEOUT_S = 2
TIMED_OUT = StoreError(StoreErrorKind.UNAVAILABLE, "read", "platform", "timed out")

LISTED_LEAVING = register(
    4053, "WARNING", "leaving state of this VM changed in the VM list"
)
VM_LIST_FAILED = register(4052, "WARNING", "cannot read VM list")
ACCEPTANCE_FAILED = register(3103, "WARNING", "cannot accept the tables")
CONFIGURATION_READ_FAILED = register(3104, "WARNING", "cannot read configuration")


class VmSource(Protocol):
    """Source of the platform's lagging list of VMs."""

    async def vms(self) -> Result[Sequence[ListedVm], StoreError]:
        """Return all live and leaving VMs."""
        ...


def no_lease() -> bool:
    """Return False: this process does not hold the acceptance lease."""
    return False


@dataclass
class ClusterNode:
    """Runs membership and configuration of one process.

    ``holds_lease`` returns whether this process should accept table edits; a wrong
    result costs store calls but does no harm. The daemon starts ``run`` in its task
    group: ``await task_group.start(node.run)`` returns when the sockets are bound.
    """

    member: Member
    key: bytes
    store: ObjectStore
    vm_source: VmSource
    clock: Clock = field(default_factory=SystemClock)
    random: Random = field(default_factory=SystemRandom)
    holds_lease: Callable[[], bool] = no_lease
    incarnation: int = 0

    def __post_init__(self) -> None:
        address = self.member.instance.address
        incarnation = self.incarnation or WallClock().now_ms() // MS_PER_S
        self.membership = Membership(self.member, self.clock, self.random, incarnation)
        self.configuration = ConfigurationHolder(self.clock, self.random)
        self.datagrams = DatagramEndpoint(address, self.key)
        self.datagrams.register(GOSSIP_DATAGRAM, self.receive_gossip)
        self.server = ExchangeServer(address, self.key, self.handle_request)
        self.client = ExchangeClient(self.key, self.clock)
        self.acceptor = Acceptor(self.store)
        self.datagrams.register(LEAVING_DATAGRAM, self.receive_leaving_notice)
        self.started_ms = self.clock.now_ms()
        self.listed_leaving = False
        self.on_listed_leaving: Callable[[bool], None] = lambda leaving: None
        self.notified: set[str] = set()
        self.tasks: anyio.abc.TaskGroup | None = None
        self.reading_store = False

    # Interface for the daemons.

    def register(self, kind: int, handler: Handler) -> None:
        """Register the handler of another kind of datagram."""
        self.datagrams.register(kind, handler)

    async def send(self, address: str, kind: int, payload: bytes) -> None:
        """Send a datagram of any kind."""
        await self.datagrams.send(address, kind, payload)

    async def set_self(
        self, draining: bool | None = None, weight: float | None = None
    ) -> None:
        """Announce a change of this process to the fleet."""
        await self.execute_actions(self.membership.set_self(draining, weight))

    async def leave(self) -> None:
        """Announce to the fleet that this process ends."""
        await self.execute_actions(self.membership.leave())

    async def observe_generation(self, generation: int, address: str) -> None:
        """Handle a generation in a request or response of another process."""
        await self.execute_configuration_actions(
            self.configuration.record_peer_generation(generation, address)
        )

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled, then leave the fleet."""
        await self.datagrams.open()
        try:
            self.server.open()
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                for loop in (
                    self.datagrams.run,
                    self.server.run,
                    self.run_timers,
                    self.run_vm_list,
                    self.run_acceptance,
                ):
                    tasks.start_soon(loop)
                task_status.started()
        finally:
            with anyio.move_on_after(LEAVE_TIMEOUT_S, shield=True):
                await self.leave()
            self.server.close()
            self.client.close()
            with anyio.CancelScope(shield=True):
                await self.datagrams.close()

    # Counts for the metrics.

    def generation(self) -> int:
        """Return the generation of the configuration in force."""
        return self.configuration.generation

    def control_bytes(self) -> dict[str, int]:
        """Return the bytes of control traffic by direction, without headers."""
        sources = (self.datagrams.counts, self.client, self.server)
        return {
            "sent": sum(part.sent_bytes for part in sources),
            "received": sum(part.received_bytes for part in sources),
        }

    # Loops.

    async def run_timers(self) -> None:
        """Call the timers of membership and configuration."""
        while True:
            await self.execute_actions(self.membership.tick())
            self.configuration.nodes = self.membership.size
            if self.membership.synchronised:
                self.configuration.peers = self.membership.size - 1
            await self.execute_configuration_actions(self.configuration.tick())
            self.client.close_idle()
            await anyio.sleep(TICK_INTERVAL_MS / MS_PER_S)

    async def run_vm_list(self) -> None:
        """Read the VM list periodically; the fleet's total rate is constant."""
        known = False
        while True:
            known = await self.read_vm_list() or known
            interval_ms = max(
                MIN_VM_LIST_INTERVAL_MS if known else VM_LIST_RETRY_MS,
                self.membership.size * MS_PER_S // VM_READS_PER_S,
            )
            if self.listed_leaving:
                interval_ms = min(interval_ms, LISTED_LEAVING_INTERVAL_MS)
            await self.sleep_jittered(interval_ms)

    async def read_vm_list(self) -> bool:
        """Read the VM list once; return whether it succeeded."""
        result: Result[Sequence[ListedVm], StoreError] = Err(TIMED_OUT)
        with anyio.move_on_after(STORE_TIMEOUT_S):
            result = await self.vm_source.vms()
        if isinstance(result, Err):
            log_event(VM_LIST_FAILED, error=result.err_value)
            return False
        self.membership.update_vm_list(result.ok_value)
        leaving = {vm.address for vm in result.ok_value if vm.leaving}
        self.update_listed_leaving(self.member.instance.address in leaving)
        await self.notify_leaving(leaving)
        return True

    def update_listed_leaving(self, leaving: bool) -> None:
        """Notify the daemon if the list starts or stops to show this VM as leaving."""
        age_ms = self.clock.now_ms() - self.started_ms
        if leaving == self.listed_leaving or age_ms < VM_LIST_GRACE_MS:
            return
        self.listed_leaving = leaving
        log_event(LISTED_LEAVING, leaving=leaving)
        self.on_listed_leaving(leaving)

    async def notify_leaving(self, leaving: set[str]) -> None:
        """Notify the processes on leaving VMs, because they read the list rarely."""
        unnotified = sorted(leaving - self.notified - {self.member.instance.address})
        self.notified = leaving
        for address in unnotified[:MAX_LEAVING_NOTICES]:
            await self.send(address, LEAVING_DATAGRAM, b"")

    async def receive_leaving_notice(self, source: str, payload: bytes) -> None:
        """Read the VM list after a peer's notice that this VM is leaving."""
        if not self.listed_leaving:
            self.spawn(self.read_vm_list)

    async def run_acceptance(self) -> None:
        """Accept table edits while this process holds the acceptance lease."""
        while True:
            if self.holds_lease():
                outcome = await self.acceptor.run_if_changed()
                if isinstance(outcome, Err):
                    log_event(ACCEPTANCE_FAILED, error=outcome.err_value)
                elif outcome.ok_value is not None:
                    await self.execute_configuration_actions(
                        self.configuration.apply_if_newer(outcome.ok_value)
                    )
            await self.sleep_jittered(ACCEPT_INTERVAL_MS)

    async def sleep_jittered(self, interval_ms: int) -> None:
        """Sleep for the interval times a random factor between 0.5 and 1.5."""
        await anyio.sleep(interval_ms * (0.5 + self.random.random()) / MS_PER_S)

    # Membership.

    async def receive_gossip(self, source: str, payload: bytes) -> None:
        """Handle a gossip datagram."""
        await self.execute_actions(
            self.membership.receive(source, decode_gossip(payload, source))
        )

    async def execute_actions(self, actions: list[Action]) -> None:
        """Execute the actions that membership decided on."""
        for action in actions:
            if isinstance(action, Send):
                await self.datagrams.send(
                    action.address, GOSSIP_DATAGRAM, encode(action.message)
                )
            elif isinstance(action, Fetch):
                self.spawn(self.fetch, action)
            elif isinstance(action, NewerGeneration):
                await self.observe_generation(action.generation, action.address)

    async def fetch(self, action: Fetch) -> None:
        """Send a request about members and handle the reply."""
        reply = await self.exchange(action.address, action.request)
        await self.execute_actions(self.membership.receive_reply(action, reply))

    async def exchange(
        self, address: str, request: ExchangeRequest
    ) -> ExchangeReply | None:
        """Return the reply of a peer, or None if the exchange failed."""
        with suppress(TransportError, CodecError):
            return await self.client.request(address, request)
        return None

    def spawn(self, function: Callable, *arguments: object) -> None:
        """Start a task beside the loops, unless they have ended."""
        if self.tasks is not None and not self.tasks.cancel_scope.cancel_called:
            self.tasks.start_soon(function, *arguments)

    # Configuration.

    async def execute_configuration_actions(
        self, actions: list[ConfigurationAction]
    ) -> None:
        """Execute the actions that the configuration decided on."""
        self.membership.generation = self.configuration.generation
        for action in actions:
            if isinstance(action, ReadStore):
                self.spawn(self.read_store)
            elif isinstance(action, ReadStatus):
                self.spawn(self.read_status)
            elif isinstance(action, AskPeers):
                for address in self.membership.random_peers(action.count):
                    self.spawn(self.fetch_delta, address, action.since)
            elif isinstance(action, FetchDelta):
                self.spawn(self.fetch_delta, action.address, action.since)
            else:
                await self.execute_actions(self.membership.push())

    async def read_store(self) -> None:
        """Read the accepted configuration."""
        if self.reading_store:
            return
        self.reading_store = True
        result: Result[StoredObject | None, StoreError] = Err(TIMED_OUT)
        try:
            with anyio.move_on_after(STORE_TIMEOUT_S):
                result = await self.store.get(ACCEPTED_CONFIGURATION)
        finally:
            self.reading_store = False
        if isinstance(result, Err):
            log_event(CONFIGURATION_READ_FAILED, error=result.err_value)
            await self.execute_configuration_actions(self.configuration.store_failed())
            return
        stored = result.ok_value
        await self.execute_configuration_actions(
            self.configuration.store_replied(stored.value if stored else None)
        )

    async def read_status(self) -> None:
        """Read the generation that was accepted last."""
        result: Result[StoredObject | None, StoreError] = Err(TIMED_OUT)
        with anyio.move_on_after(STORE_TIMEOUT_S):
            result = await self.store.get(TABLE_STATUS)
        if isinstance(result, Err):
            log_event(CONFIGURATION_READ_FAILED, error=result.err_value)
            await self.execute_configuration_actions(self.configuration.store_failed())
        elif result.ok_value is not None:
            generation = status_generation(result.ok_value.value)
            await self.execute_configuration_actions(
                self.configuration.status_replied(generation)
            )

    async def fetch_delta(self, address: str, since: int) -> None:
        """Request the changes of the configuration from a peer."""
        reply = await self.exchange(address, ConfigurationRequest(since))
        delta = reply if isinstance(reply, ConfigurationDelta) else None
        await self.execute_configuration_actions(
            self.configuration.peer_replied(address, delta)
        )

    def handle_request(self, request: ExchangeRequest) -> ExchangeReply:
        """Answer a request of a peer."""
        if isinstance(request, ConfigurationRequest):
            return self.configuration.delta_since(request.since)
        reply = self.membership.serve(request)
        return reply or ExchangeFailure("unknown request")


def status_generation(value: bytes) -> int:
    """Return the generation in the status object, 0 if it is malformed."""
    try:
        return msgspec.json.decode(value, type=TableStatus).generation
    except msgspec.MsgspecError:
        return 0
