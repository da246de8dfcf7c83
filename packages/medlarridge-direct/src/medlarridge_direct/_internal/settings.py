"""Settings of a direct router, filled by the adapter of a platform."""

from dataclasses import dataclass

from .coordination.retry_budget import BudgetBounds

HostPort = tuple[str, int]


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """What one router must know at its start.

    ``peer_port`` is the UDP port on which routers exchange news. ``grace_ms`` is the
    time between the signal to stop and the forced end. ``load_factor`` is the multiple
    of its pool's mean load that a server may carry.
    """

    node: str
    role: str
    data_centre: str
    ip: str
    clients: HostPort
    readiness: HostPort
    store: HostPort
    peer_port: int
    grace_ms: int
    drain_ms: int
    apply_ms: int
    budget: BudgetBounds
    load_factor: float
    metrics_port: int
