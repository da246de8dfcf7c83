"""Observed pace at which the servers of a pool process prompts."""

from msgspec import Struct, field

EWMA_WEIGHT = 0.1
"""Weight of the newest observation in the moving average."""

MIN_TOKENS = 1_000
"""Shorter prompts say little, since other delays outweigh their processing."""


class ProcessingPace(Struct):
    """Moving average of the milliseconds per token by pool."""

    ms_per_token: dict[str, float] = field(default_factory=dict)

    def record(self, pool: str, tokens: int, elapsed_ms: int) -> None:
        """Record the time to the first byte of a response to a new prompt."""
        if tokens < MIN_TOKENS:
            return
        observed = elapsed_ms / tokens
        average = self.ms_per_token.get(pool, observed)
        self.ms_per_token[pool] = average + EWMA_WEIGHT * (observed - average)

    def duration_ms(self, pool: str, tokens: int) -> float:
        """Return how long a prompt is expected to take, 0 if nothing was observed."""
        return tokens * self.ms_per_token.get(pool, 0.0)
