"""Bound of what a router sends to its peers, as a share of its link.

What a router tells all peers costs as many datagrams as there are peers. Without a bound
a few restarts fill the links of a large fleet, reports get lost, routers count as silent
and are told everything again once they are heard, which fills the links further.
"""

from msgspec import Struct

from medlarridge._internal.clock import MS_PER_S, Clock

CONTROL_LINK_SHARE = 0.1
"""Share of the link for messages to peers. All links carry requests as well, and a router
receives on average what a router sends."""

BURST_MS = 250
"""Time of the share that may be sent at once, for news that must arrive soon."""

BYTES_PER_MBIT = 125_000


class SendPacer(Struct):
    """Bytes that were sent beyond the share of the link, which falls with time.

    In any time ``t`` at most ``bytes_per_s * (t + BURST_MS)`` and one more message to all
    peers are sent, beside the periodic reports, which are never held back.
    """

    clock: Clock
    bytes_per_s: float
    debt_bytes: float = 0.0
    updated_ms: int = 0

    def record(self, size: int) -> None:
        """Count bytes that were sent."""
        self.settle()
        self.debt_bytes += size

    def delay_ms(self) -> int:
        """Return the time in which nothing should be sent beside periodic reports."""
        self.settle()
        burst_bytes = self.bytes_per_s * BURST_MS / MS_PER_S
        excess_bytes = self.debt_bytes - burst_bytes
        if excess_bytes <= 0:
            return 0
        return int(excess_bytes / self.bytes_per_s * MS_PER_S) + 1

    def settle(self) -> None:
        """Reduce the debt by what the time since the last update allows."""
        now_ms = self.clock.now_ms()
        allowed_bytes = self.bytes_per_s * (now_ms - self.updated_ms) / MS_PER_S
        self.debt_bytes = max(self.debt_bytes - allowed_bytes, 0.0)
        self.updated_ms = now_ms


def control_bytes_per_s(link_mbps: float) -> float:
    """Return what a router with such a link may send to its peers in a second."""
    return link_mbps * BYTES_PER_MBIT * CONTROL_LINK_SHARE
