from medlarridge._internal.coordination.suspect_rules import (
    CLAIM_TIMEOUT_MS,
    MAX_SUSPECTS_PER_SHARD,
    apply_request,
)
from medlarridge._internal.coordination.suspect_store_requests import (
    ClaimRequest,
    ClearRequest,
    StrikeRequest,
    shard_of,
)
from medlarridge._internal.protocol.suspects import Claim, Strike, Suspect, SuspectShard

START_MS = 10**12
SHARD = shard_of("r")


class TestApplyRequest:
    def apply(self, shard, request, now_ms=START_MS, dead_servers=()):
        return (
            apply_request(shard, request, now_ms, lambda server: server in dead_servers)
            or shard
        )

    def strike(self, shard, server, *fingerprints, at_ms=START_MS, alone=False):
        request = StrikeRequest(SHARD, fingerprints, Strike(server, at_ms, alone))
        return self.apply(shard, request)

    def test_a_strike_counts_once_per_server_start(self):
        """Guards against double strikes when a reply of the store is lost."""
        shard = self.strike(SuspectShard(), "a-1", "x")
        assert self.strike(shard, "a-1", "x") == shard
        assert len(self.strike(shard, "a-2", "x").suspects["x"].strikes) == 2

    def test_a_claim_of_a_dead_or_paused_process_becomes_a_strike(self):
        """Guards against losing a strike when the VM dies before storing it."""
        shard = self.strike(SuspectShard(), "a-1", "x")
        claim = Claim("b-1", "1", START_MS)
        shard = self.apply(shard, ClaimRequest(SHARD, "x", claim))
        other = Claim("c-1", "2", START_MS + 1, alone=True)
        next_claim = ClaimRequest(SHARD, "x", other)
        assert self.apply(shard, next_claim) == shard
        later = self.apply(shard, next_claim, START_MS + CLAIM_TIMEOUT_MS)
        dead = self.apply(shard, next_claim, dead_servers=["b-1"])
        for changed in (later, dead):
            suspect = changed.suspects["x"]
            assert [each.server for each in suspect.strikes] == ["a-1", "b-1"]
            assert suspect.claim == next_claim.claim

    def test_a_late_clear_keeps_newer_strikes(self):
        """Guards against a clear, delayed by an outage, that removes later strikes."""
        shard = self.strike(SuspectShard(), "a-1", "x")
        shard = self.strike(shard, "b-1", "x", at_ms=START_MS + 20)
        shard = self.apply(shard, ClearRequest(SHARD, "x", START_MS + 10))
        assert [each.server for each in shard.suspects["x"].strikes] == ["b-1"]
        shard = self.apply(shard, ClearRequest(SHARD, "x", START_MS + 20))
        assert shard.suspects == {}

    def test_a_full_shard_evicts_the_suspects_with_fewest_strikes(self):
        """Guards against evicting a culprit because of many single strikes."""
        many = {
            str(each): Suspect([Strike("a", START_MS)])
            for each in range(MAX_SUSPECTS_PER_SHARD)
        }
        shard = SuspectShard({"x": Suspect([Strike("a", 1), Strike("b", START_MS)])})
        shard = SuspectShard(shard.suspects | many)
        shard = self.strike(shard, "c-1", "new")
        assert len(shard.suspects) == MAX_SUSPECTS_PER_SHARD
        assert "x" in shard.suspects
