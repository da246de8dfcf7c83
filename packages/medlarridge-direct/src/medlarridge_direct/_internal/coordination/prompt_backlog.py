"""Prompt tokens that peers have sent to servers and that have had no first event."""

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

from .load_view import PEER_REPORT_TTL_MS


class PeerBacklog(Struct):
    """The last report of a peer: its waiting tokens by instance key."""

    tokens: dict[int, int]
    received_ms: int


class PromptBacklog(Struct):
    """Waiting tokens of all peers by instance key; ``totals`` are the sums."""

    clock: Clock
    peers: dict[int, PeerBacklog] = field(default_factory=dict)
    totals: dict[int, int] = field(default_factory=dict)

    def apply_report(self, router_id: int, tokens: dict[int, int]) -> None:
        """Replace the previous report of a peer."""
        previous = self.peers.get(router_id)
        if not tokens and previous is None:
            return
        self.peers[router_id] = PeerBacklog(tokens, self.clock.now_ms())
        self.add(tokens, 1)
        if previous is not None:
            self.add(previous.tokens, -1)

    def expire(self) -> None:
        """Discard the reports of peers that stopped reporting."""
        oldest_ms = self.clock.now_ms() - PEER_REPORT_TTL_MS
        for router_id, backlog in list(self.peers.items()):
            if backlog.received_ms < oldest_ms:
                del self.peers[router_id]
                self.add(backlog.tokens, -1)

    def add(self, tokens: dict[int, int], sign: int) -> None:
        """Add the tokens of one report to the totals, or subtract them."""
        for key, count in tokens.items():
            total = self.totals.get(key, 0) + sign * count
            if total:
                self.totals[key] = total
            else:
                self.totals.pop(key, None)
