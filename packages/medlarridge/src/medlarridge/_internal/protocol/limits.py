"""Messages between routers about account limits."""

import msgspec


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one account on one route since the sender's last report.

    Each counted request stands for ``scale`` requests, because a router reports
    only a sample if its accounts have many home routers.
    """

    route: str
    account: str
    count: int
    scale: float = 1.0


class UsageReport(msgspec.Struct, frozen=True, array_like=True, tag="usage"):
    """Usage that a router reports to the home router of the accounts."""

    sender: str
    usages: list[Usage]


class Throttle(msgspec.Struct, frozen=True, array_like=True):
    """Fraction of an account's requests that every router may admit.

    ``ttl_ms`` is a remaining time, because the clocks of VMs differ. ``home`` is the
    instance number of the home router, and ``sequence`` orders its throttles.
    """

    route: str
    account: str
    fraction: float
    ttl_ms: int
    home: int
    sequence: int


class Throttles(msgspec.Struct, frozen=True, array_like=True, tag="throttles"):
    """Throttles in the reply to a report, or pushed to a peer."""

    throttles: list[Throttle]


LimitMessage = UsageReport | Throttles
