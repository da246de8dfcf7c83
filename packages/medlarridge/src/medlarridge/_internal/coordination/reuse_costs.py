"""Costs of prefilling a prompt prefix and of importing its KV cache."""

from dataclasses import dataclass

from ..clock import MS_PER_S

# Weight of the newest observation in the moving average of a rate.
RATE_SMOOTHING = 0.1


@dataclass
class ReuseCosts:
    """Costs of prefilling and importing, adjusted to observed durations."""

    prefill_tokens_per_s: float = 10_000.0
    import_tokens_per_s: float = 100_000.0
    import_overhead_ms: float = 10.0
    block_tokens: int = 16
    # Work of prefilling one prompt token, in generated tokens: 8 concurrent requests
    # generate 50 tokens/s each while the engine could prefill 10,000 tokens/s.
    prefill_work: float = 0.04

    def prefill_ms(self, tokens: int) -> float:
        """Return the expected time to prefill the tokens."""
        return MS_PER_S * tokens / self.prefill_tokens_per_s

    def import_ms(self, tokens: int) -> float:
        """Return the expected time to import the tokens."""
        transfer_ms = MS_PER_S * tokens / self.import_tokens_per_s
        return self.import_overhead_ms + transfer_ms

    def observe_prefill(self, tokens: int, duration_ms: float) -> None:
        """Update the prefill rate from an observed prefill."""
        if tokens >= self.block_tokens and duration_ms > 0:
            rate = MS_PER_S * tokens / duration_ms
            self.prefill_tokens_per_s += RATE_SMOOTHING * (
                rate - self.prefill_tokens_per_s
            )

    def observe_import(self, tokens: int, duration_ms: float) -> None:
        """Update the import rate from an observed import."""
        transfer_ms = duration_ms - self.import_overhead_ms
        if tokens >= self.block_tokens and transfer_ms > 0:
            rate = MS_PER_S * tokens / transfer_ms
            self.import_tokens_per_s += RATE_SMOOTHING * (
                rate - self.import_tokens_per_s
            )
