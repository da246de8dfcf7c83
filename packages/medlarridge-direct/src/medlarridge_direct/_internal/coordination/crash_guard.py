"""Protection against requests that crash the servers that run them.

A request gets a strike for each server that goes down while running it. After
``STRIKES_TO_REFUSE`` servers, all routers refuse the request.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from medlarridge._internal.clock import Clock

STRIKES_TO_REFUSE = 3
"""Crashed servers after which a request is refused; the platform's limit."""
STRIKE_RETENTION_MS = 120_000
"""Time after the last strike of a request at which its strikes expire."""
MAX_FINGERPRINTS = 10_000


def request_fingerprint(method: bytes, target: bytes, account: str, body: bytes) -> int:
    """Return a hash of a request that is the same when the request is repeated."""
    digest = xxhash.xxh64(method)
    for part in (target, account.encode(), body):
        digest.update(b"\0")
        digest.update(part)
    return digest.intdigest()


@dataclass(slots=True)
class Strikes:
    """Servers that went down while running a request."""

    servers: set[str] = field(default_factory=set)
    last_strike_ms: int = 0


@dataclass(slots=True)
class CrashGuard:
    """Strikes by request fingerprint, including those that peers reported."""

    clock: Clock
    strikes: OrderedDict[int, Strikes] = field(default_factory=OrderedDict)

    def add_strike(self, fingerprint: int, server: str) -> bool:
        """Add a strike; return whether the server is a new one for this request."""
        entry = self.strikes.setdefault(fingerprint, Strikes())
        self.strikes.move_to_end(fingerprint)
        entry.last_strike_ms = self.clock.now_ms()
        is_new = server not in entry.servers
        entry.servers.add(server)
        while len(self.strikes) > MAX_FINGERPRINTS:
            self.strikes.popitem(last=False)
        return is_new

    def strike_count(self, fingerprint: int) -> int:
        """Return the number of servers that went down while running the request."""
        entry = self.strikes.get(fingerprint)
        if entry is None:
            return 0
        if self.clock.now_ms() - entry.last_strike_ms > STRIKE_RETENTION_MS:
            del self.strikes[fingerprint]
            return 0
        return len(entry.servers)

    def should_refuse(self, fingerprint: int) -> bool:
        """Return whether the request must not run again."""
        return self.strike_count(fingerprint) >= STRIKES_TO_REFUSE
