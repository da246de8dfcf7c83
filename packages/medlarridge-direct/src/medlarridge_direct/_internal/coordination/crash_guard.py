"""Requests that crash the servers that run them.

A request that was running when its server went down gets a strike. After a strike at
the bounded number of servers it is refused everywhere.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from medlarridge._internal.clock import Clock

MAX_STRIKES = 3
"""Servers that a request may crash; the platform's rules allow three."""
STRIKE_MS = 120_000
"""How long a strike counts."""
MAX_FINGERPRINTS = 10_000


def request_fingerprint(method: bytes, target: bytes, account: str, body: bytes) -> int:
    """Return a number that a repeated request has again."""
    digest = xxhash.xxh64(method)
    for part in (target, account.encode(), body):
        digest.update(b"\0")
        digest.update(part)
    return digest.intdigest()


@dataclass(slots=True)
class Strikes:
    """Servers that went down while they ran a request."""

    servers: set[str] = field(default_factory=set)
    last_ms: int = 0


@dataclass(slots=True)
class CrashGuard:
    """Strikes by fingerprint, those of peers included."""

    clock: Clock
    strikes: OrderedDict[int, Strikes] = field(default_factory=OrderedDict)

    def add_strike(self, fingerprint: int, server: str) -> bool:
        """Add a strike; return whether it is new."""
        entry = self.strikes.setdefault(fingerprint, Strikes())
        self.strikes.move_to_end(fingerprint)
        entry.last_ms = self.clock.now_ms()
        new = server not in entry.servers
        entry.servers.add(server)
        while len(self.strikes) > MAX_FINGERPRINTS:
            self.strikes.popitem(last=False)
        return new

    def strike_count(self, fingerprint: int) -> int:
        """Return the number of servers that the request took down."""
        entry = self.strikes.get(fingerprint)
        if entry is None:
            return 0
        if self.clock.now_ms() - entry.last_ms > STRIKE_MS:
            del self.strikes[fingerprint]
            return 0
        return len(entry.servers)

    def should_refuse(self, fingerprint: int) -> bool:
        """Whether the request must not run any more."""
        return self.strike_count(fingerprint) >= MAX_STRIKES
