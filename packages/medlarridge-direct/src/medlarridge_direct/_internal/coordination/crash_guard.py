"""Protection against requests that crash the servers that run them.

A request gets a strike for each server that goes down while running it. After
``STRIKES_TO_REFUSE`` servers, all routers refuse the request.
"""

from collections import OrderedDict
from itertools import islice

import xxhash
from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.peer_messages import HeldStrike

STRIKES_TO_REFUSE = 3
"""Crashed servers after which a request is refused; the platform's limit."""
STRIKE_RETENTION_MS = 120_000
"""Time after the last strike of a request at which its strikes expire."""
MAX_FINGERPRINTS = 10_000
MAX_FINGERPRINT = 2**64 - 1


def request_fingerprint(method: bytes, target: bytes, account: str, body: bytes) -> int:
    """Return a hash of a request that is the same when the request is repeated."""
    digest = xxhash.xxh64(method)
    for part in (target, account.encode(), body):
        digest.update(b"\0")
        digest.update(part)
    return digest.intdigest()


class Strikes(Struct):
    """Servers that went down while running a request, with the times of the strikes."""

    servers: dict[str, int] = field(default_factory=dict)

    @property
    def last_strike_ms(self) -> int:
        """Return the time of the newest strike."""
        return max(self.servers.values(), default=0)


class CrashGuard(Struct):
    """Strikes by request fingerprint, including those that peers reported."""

    clock: Clock
    strikes: OrderedDict[int, Strikes] = field(default_factory=OrderedDict)

    def add_strike(self, fingerprint: int, server: str, age_ms: int = 0) -> bool:
        """Add a strike; return whether the server is a new one for this request.

        A strike that is known already gets no younger, so routers that tell each other
        do not keep it forever.
        """
        entry = self.strikes.setdefault(fingerprint, Strikes())
        if server in entry.servers:
            return False
        self.strikes.move_to_end(fingerprint)
        entry.servers[server] = self.clock.now_ms() - age_ms
        while len(self.strikes) > MAX_FINGERPRINTS:
            self.strikes.popitem(last=False)
        return True

    def newest_strikes(self, limit: int) -> list[HeldStrike]:
        """Return the strikes of the requests that were struck last, up to a limit."""
        now_ms = self.clock.now_ms()
        held = (
            HeldStrike(fingerprint, server, now_ms - struck_ms)
            for fingerprint, entry in reversed(self.strikes.items())
            for server, struck_ms in entry.servers.items()
            if now_ms - entry.last_strike_ms <= STRIKE_RETENTION_MS
        )
        return list(islice(held, limit))

    def refused_crashes(self) -> dict[int, int]:
        """Return the requests that are refused, with their numbers of crashes."""
        counts = {each: self.strike_count(each) for each in list(self.strikes)}
        return {
            each: count for each, count in counts.items() if count >= STRIKES_TO_REFUSE
        }

    def add_stored(self, fingerprint: int, crashes: int) -> None:
        """Add crashes that a router of an earlier time has stored, as if of now."""
        if not 0 <= fingerprint <= MAX_FINGERPRINT:
            return
        for number in range(min(crashes, STRIKES_TO_REFUSE)):
            self.add_strike(fingerprint, f"stored-{number}")

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
