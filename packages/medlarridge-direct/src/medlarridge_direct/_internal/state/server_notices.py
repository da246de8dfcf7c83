"""What servers have said of themselves, to this router or to its peers.

Responses may arrive in another order than the one in which their servers sent them. A
statement replaces a stricter one only if its request was sent after the stricter one
had arrived, since only then it is certainly the later one.
"""

from collections.abc import Callable, Iterator
from random import Random

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from ..protocol.server_notices import LimitStatement, ServerNotice
from .server_table import ServerTable

CHECK_INTERVAL_MS = 1_000
"""Time without a response after which it is uncertain whether a limit still holds."""

REST_SPREAD_SHARE = 0.25
MAX_REST_SPREAD_MS = 1_000
"""Time over which the routers come back to a server after its rest: a share of the
rest, up to a maximum."""

LIFT_RETENTION_MS = 60_000
"""Time for which it is remembered that a limit has ended or that a server was leaving:
a peer that has not heard of the end cannot bring the limit back, and an older copy of
the list cannot bring the server back."""


def ignore_limit_change(
    start: str, before: float | None, limit: float | None, from_peer: bool
) -> None:
    """Do nothing about a changed limit."""


def ignore_rest(start: str, rest_ms: int) -> None:
    """Do nothing about a server that asks for rest."""


def ignore_leaving(start: str, from_peer: bool) -> None:
    """Do nothing about a server that leaves."""


def ignore_malformed(start: str, values: tuple[str, ...]) -> None:
    """Do nothing about malformed values."""


class ServerNotices(Struct):
    """The statements of servers, by start of a server.

    ``rest_until_ms`` are the times until which servers want no request of this router,
    ``peer_rest_until_ms`` those that they have told to peers. ``leaving`` are the starts
    that have said that they leave, and when this was last told.
    ``on_limit_change`` takes the start, the limits before and after, None for none, and
    whether a peer told; ``on_rest`` takes the time in milliseconds, ``on_malformed``
    the values that could not be read.
    """

    clock: Clock
    random: Random = field(default_factory=Random)
    limits: dict[str, LimitStatement] = field(default_factory=dict)
    rest_until_ms: dict[str, int] = field(default_factory=dict)
    peer_rest_until_ms: dict[str, int] = field(default_factory=dict)
    leaving: dict[str, int] = field(default_factory=dict)
    malformed: int = 0
    on_limit_change: Callable[[str, float | None, float | None, bool], None] = (
        ignore_limit_change
    )
    on_rest: Callable[[str, int], None] = ignore_rest
    on_leaving: Callable[[str, bool], None] = ignore_leaving
    on_malformed: Callable[[str, tuple[str, ...]], None] = ignore_malformed

    def record(self, start: str, notice: ServerNotice, asked_ms: int) -> None:
        """Record what a response that has just arrived says of its server."""
        if notice.malformed:
            self.malformed += 1
            self.on_malformed(start, notice.malformed)
        if notice.rest_ms:
            self.begin_rest(start, notice.rest_ms)
        if notice.leaving:
            self.begin_leaving(start)
        if notice.limit_per_s is not None or not notice.limit_malformed:
            self.apply_limit(
                start,
                LimitStatement(notice.limit_per_s, asked_ms, self.clock.now_ms()),
            )

    def begin_rest(self, start: str, rest_ms: int) -> None:
        """Send a server nothing for a time; a shorter rest does not end a longer one.

        Routers that were asked together come back one after the other.
        """
        spread_ms = min(int(REST_SPREAD_SHARE * rest_ms), MAX_REST_SPREAD_MS)
        until_ms = self.clock.now_ms() + rest_ms + self.random.randint(0, spread_ms)
        if until_ms > self.rest_until_ms.get(start, 0):
            self.rest_until_ms[start] = until_ms
            self.on_rest(start, rest_ms)

    def begin_peer_rest(self, start: str, rest_ms: int) -> None:
        """Prefer other servers while a server wants nothing from a peer."""
        until_ms = self.clock.now_ms() + rest_ms
        self.peer_rest_until_ms[start] = max(
            until_ms, self.peer_rest_until_ms.get(start, 0)
        )

    def begin_leaving(self, start: str, from_peer: bool = False) -> None:
        """Send a server nothing any more; no later statement takes this back."""
        is_new = start not in self.leaving
        self.leaving[start] = self.clock.now_ms()
        if is_new:
            self.on_leaving(start, from_peer)

    def is_leaving(self, start: str) -> bool:
        """Return whether a server has said that it leaves."""
        return start in self.leaving

    def rest_left_ms(self, start: str) -> int:
        """Return for how long a server wants no request of this router."""
        return max(self.rest_until_ms.get(start, 0) - self.clock.now_ms(), 0)

    def rests_for_peer(self, start: str) -> bool:
        """Return whether a server wants no request of a peer."""
        return self.peer_rest_until_ms.get(start, 0) > self.clock.now_ms()

    def rests(self) -> list[tuple[str, int]]:
        """Return the servers that want no request of this router, and the times left."""
        return [
            (start, left_ms)
            for start in self.rest_until_ms
            if (left_ms := self.rest_left_ms(start))
        ]

    def accepts(self, start: str) -> bool:
        """Return whether a server takes requests of this router at all."""
        return not self.rest_left_ms(start) and start not in self.leaving

    def apply_limit(
        self, start: str, statement: LimitStatement, from_peer: bool = False
    ) -> None:
        """Keep a statement about a limit unless a known one is later or stricter."""
        known = self.limits.get(start)
        if known is None:
            if statement.per_s is None and not from_peer:
                # A server that has never named a limit, as most.
                return
        elif not replaces(statement, known):
            return
        self.limits[start] = statement
        before = None if known is None else known.per_s
        if statement.per_s != before:
            self.on_limit_change(start, before, statement.per_s, from_peer)

    def limit_per_s(self, start: str) -> float | None:
        """Return the limit that a server has named, or None if it has none."""
        statement = self.limits.get(start)
        return None if statement is None else statement.per_s

    def has_recent_limit(self, start: str) -> bool:
        """Return whether a server has named a limit a moment ago.

        One that was not heard for longer gets requests like others, as far as its limit
        allows, so that the end of the limit is noticed.
        """
        statement = self.limits.get(start)
        return (
            statement is not None
            and statement.per_s is not None
            and self.clock.now_ms() - statement.heard_ms < CHECK_INTERVAL_MS
        )

    def limited(self) -> Iterator[tuple[str, float]]:
        """Yield the starts of servers that have a limit, and these limits."""
        for start, statement in self.limits.items():
            if statement.per_s is not None:
                yield start, statement.per_s

    def expire(self, servers: ServerTable) -> None:
        """Forget what has ended, and statements of servers that have left the list."""
        now_ms = self.clock.now_ms()
        for rests in (self.rest_until_ms, self.peer_rest_until_ms):
            for start in [
                each for each, until_ms in rests.items() if until_ms <= now_ms
            ]:
                del rests[start]
        if not self.limits and not self.leaving:
            return
        listed = servers.starts()
        oldest_ms = now_ms - LIFT_RETENTION_MS
        for start, told_ms in list(self.leaving.items()):
            if told_ms < oldest_ms and start not in listed:
                del self.leaving[start]
        for start, statement in list(self.limits.items()):
            if statement.heard_ms < oldest_ms and (
                statement.per_s is None or start not in listed
            ):
                del self.limits[start]


def replaces(statement: LimitStatement, known: LimitStatement) -> bool:
    """Return whether a statement takes the place of a known one."""
    if statement.asked_ms > known.heard_ms:
        return True
    if statement.heard_ms <= known.asked_ms or statement.per_s is None:
        return False
    if known.per_s is None:
        return True
    return statement.per_s < known.per_s or (
        statement.per_s == known.per_s and statement.heard_ms > known.heard_ms
    )
