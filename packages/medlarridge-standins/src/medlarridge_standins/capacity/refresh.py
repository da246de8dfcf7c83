"""CPU time of the periodic work on the member list at the target size."""

from random import Random
from types import SimpleNamespace

from loguru import logger

from medlarridge._internal.coordination.member_events import ListedVm
from medlarridge._internal.coordination.placement import Placement
from medlarridge._internal.coordination.reuse_planner import ReusePlanner
from medlarridge._internal.identity import Role
from medlarridge._internal.node import ClusterFleet
from medlarridge._internal.protocol.tables import Tables

from ..report import Row
from . import capacity
from .decisions import mean_cpu_us
from .membership import FLEET_SIZES, build_membership

POOL = "souk-model-1"
DATA_CENTRES = [f"data-centre-{number}" for number in range(12)]
ROUNDS = 20
SEED = 31
US_PER_MS = 1000


@capacity.scenario("member-refresh")
def member_refresh() -> list[Row]:
    """Measure the rebuild of one pool and the processing of a VM list."""
    logger.remove()
    fleet_size = FLEET_SIZES[-1]
    membership, clock = build_membership(fleet_size)
    pools = {POOL: {"kind": "engine", "data_centres": DATA_CENTRES}}
    configuration = SimpleNamespace(
        tables=Tables.model_validate({"pools": pools}), generation=1, ready=True
    )
    cluster = SimpleNamespace(
        membership=membership, configuration=configuration, clock=clock
    )
    fleet = ClusterFleet(cluster)
    members = fleet.members_of(POOL)
    planner = ReusePlanner(members[0], 1.25, clock, Random(SEED))
    listed_vms = [
        ListedVm(
            record.member.instance.address,
            record.member.instance.data_centre,
            record.member.instance.region,
            Role.SIDECAR,
            "live",
        )
        for record in membership.table.records.values()
    ]

    def rebuild_placement(_: int) -> None:
        Placement(fleet.members_of(POOL), fleet.held_down(POOL))

    def update_planner(_: int) -> None:
        planner.set_members(fleet.members_of(POOL), fleet.held_down(POOL))

    pool_size = len(members)
    vm_list_us = mean_cpu_us(lambda _: membership.update_vm_list(listed_vms), ROUNDS)
    return [
        Row("members of the measured pool", pool_size, ""),
        Row(
            "refresh one pool at a router", mean_cpu_us(rebuild_placement, ROUNDS), "us"
        ),
        Row(
            "refresh the own pool at a sidecar",
            mean_cpu_us(update_planner, ROUNDS),
            "us",
        ),
        Row(f"handle the VM list of {fleet_size} VMs", vm_list_us / US_PER_MS, "ms"),
    ]
