"""Parts that every daemon runs: store, membership, configuration and leases."""

from collections.abc import Hashable
from dataclasses import dataclass
from random import Random, SystemRandom

import anyio
import anyio.abc

from .clock import Clock, SystemClock
from .cluster import ClusterNode
from .coordination.lease import Lease
from .coordination.member_events import Observation
from .coordination.placement import Placement
from .identity import Instance, Member, Role, new_instance_number
from .protocol.tables import Tables
from .settings import ProcessSettings
from .state.lease_manager import LeaseManager
from .state.platform import PlatformStore
from .state.vm_list import PlatformVmSource

ACCEPTANCE_LEASE = "acceptance"
ORDERS_LEASE = "orders"
REUSE_DATAGRAM = 2
SUSPECT_DATAGRAM = 3
LIMIT_DATAGRAM = 4
ENGINE_REPORT_DATAGRAM = 5
"""Kinds of datagrams besides gossip."""
LEASE_CANDIDATES = 3
"""Processes that contend for a lease; more would only add reads of the store."""
LEASE_CANDIDACY_CHECK_S = 5
HOLD_DOWN_RECHECK_MS = 5_000


class ClusterFleet:
    """Fleet view from the membership and configuration of this process."""

    def __init__(self, cluster: ClusterNode) -> None:
        self.cluster = cluster
        self.scanned_revision = -1
        self.any_held_down = False

    @property
    def ready(self) -> bool:
        """Return whether the configuration is confirmed."""
        return self.cluster.configuration.ready

    @property
    def generation(self) -> int:
        """Return the generation of the configuration in force."""
        return self.cluster.configuration.generation

    @property
    def tables(self) -> Tables:
        """Return the tables in force."""
        return self.cluster.configuration.tables

    @property
    def revision(self) -> Hashable:
        """Return a value that changes with the members, the tables and hold-downs.

        Placements are rebuilt when it changes. Hold-downs expire, so while there are
        any, the value also changes periodically.
        """
        membership = self.cluster.membership
        if self.scanned_revision != membership.revision:
            self.scanned_revision = membership.revision
            self.any_held_down = any(self.held_down(pool) for pool in self.tables.pools)
        period = 0
        if self.any_held_down:
            period = self.cluster.clock.now_ms() // HOLD_DOWN_RECHECK_MS
        return membership.revision, self.generation, period

    def members_of(self, pool: str) -> list[Member]:
        """Return the members in the pool's data centres that may take work."""
        members = self.cluster.membership.usable_members_of(pool)
        entry = self.tables.pools.get(pool)
        if entry is None:
            return []
        return [m for m in members if m.instance.data_centre in entry.data_centres]

    def held_down(self, pool: str) -> set[str]:
        """Return the addresses of members that are not a home because they flapped."""
        membership = self.cluster.membership
        return {
            member.instance.address
            for member in membership.usable_members_of(pool)
            if not membership.is_stable(member)
        }

    def routers(self) -> list[Member]:
        """Return the live routers, including this process if it is one."""
        return self.cluster.membership.routers()

    async def send(self, address: str, kind: int, payload: bytes) -> None:
        """Send a datagram to another process; delivery is not guaranteed."""
        await self.cluster.send(address, kind, payload)

    def observe_generation(self, generation: int, address: str) -> None:
        """Fetch the configuration from the process if its generation is newer."""
        if generation > self.generation:
            self.cluster.spawn(self.cluster.observe_generation, generation, address)

    def observe(self, address: str, number: int, observation: Observation) -> None:
        """Pass an observation of a member to membership."""
        member = self.cluster.membership.find(address)
        if member is not None and member.instance.number == number:
            self.cluster.membership.observe(member, observation)


@dataclass(frozen=True)
class NodeIdentity:
    """Role, pool and weight of a daemon."""

    role: Role
    pool: str = ""
    weight: float = 1.0


class Node:
    """Store client, cluster membership and leases of one process."""

    def __init__(
        self,
        settings: ProcessSettings,
        identity: NodeIdentity,
        clock: Clock | None = None,
        random: Random | None = None,
    ) -> None:
        self.clock = clock or SystemClock()
        self.random = random or SystemRandom()
        self.instance = Instance(
            settings.link,
            new_instance_number(self.random),
            settings.data_centre,
            settings.region,
            identity.role,
        )
        self.store = PlatformStore(settings.platform)
        self.acceptance = Lease(
            ACCEPTANCE_LEASE, self.instance, self.clock, self.random
        )
        self.cluster = ClusterNode(
            Member(self.instance, identity.pool, identity.weight),
            settings.shared_key.get_secret_value().encode(),
            self.store,
            PlatformVmSource(self.store),
            self.clock,
            self.random,
            self.acceptance.is_held,
        )
        self.fleet = ClusterFleet(self.cluster)

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled."""
        async with self.store, anyio.create_task_group() as tasks:
            await tasks.start(self.cluster.run)
            tasks.start_soon(self.run_lease, self.acceptance)
            task_status.started()

    async def run_lease(self, lease: Lease) -> None:
        """Contend for a lease while this process is among its candidates."""
        manager = LeaseManager(self.store, lease)
        try:
            while True:
                if self.is_candidate(lease.key):
                    lease.contending = True
                    with anyio.move_on_after(LEASE_CANDIDACY_CHECK_S):
                        await manager.run()
                else:
                    if lease.is_own():
                        await manager.resign()
                    await anyio.sleep(LEASE_CANDIDACY_CHECK_S)
        finally:
            with anyio.CancelScope(shield=True):
                if lease.is_own():
                    await manager.resign()

    def is_candidate(self, lease_key: str) -> bool:
        """Return whether this process should contend for a lease.

        This only saves reads of the store; the lease itself ensures a single holder.
        """
        routers = self.cluster.membership.routers() or [self.cluster.member]
        ranked = Placement(routers).rank(lease_key, LEASE_CANDIDATES)
        return any(member.instance == self.instance for member in ranked)
