"""Synchronisation with the prefix cache of a model engine."""

from collections.abc import Callable

import anyio
import httpx
import msgspec

from medlarridge._internal.clock import MS_PER_S, Clock
from medlarridge._internal.coordination.prefix_index import CacheEvent, CacheEventKind
from medlarridge._internal.coordination.reuse_planner import ReusePlanner

from .kv_transfer import KvTransfer
from .reuse_messages import ReuseMessages

EVENTS_INTERVAL_MS = 3_000
EVENTS_LAG_MS = 4_000
"""Assumed age of an event, so that it does not override a later response."""
FETCH_INTERVAL_MS = 200
HAND_OVER_BATCH_SIZE = 20
HAND_OVER_INTERVAL_MS = 20


class EngineEvent(msgspec.Struct):
    """A cache event in the format of the engine."""

    number: int
    chat: str
    tokens: int


class EngineEvents(msgspec.Struct):
    """A page of cache events."""

    events: list[EngineEvent]


class EngineCacheSync:
    """Updates the prefix index from cache events and transfers prefixes."""

    def __init__(
        self,
        planner: ReusePlanner,
        messages: ReuseMessages,
        transfer: KvTransfer,
        client: httpx.AsyncClient,
        server: str,
        clock: Clock,
        is_engine: Callable[[], bool],
    ) -> None:
        self.planner = planner
        self.messages = messages
        self.transfer = transfer
        self.client = client
        self.server = server.rstrip("/")
        self.clock = clock
        self.is_engine = is_engine
        self.last_event = 0

    async def poll_events(self) -> None:
        """Poll cache events and apply them to the index.

        Missed events and failures are tolerated.
        """
        while True:
            await anyio.sleep(EVENTS_INTERVAL_MS / MS_PER_S)
            if not self.is_engine():
                continue
            for event in await self.fetch_events():
                self.last_event = max(self.last_event, event.number)
                self.planner.apply(
                    CacheEvent(
                        CacheEventKind.STORED
                        if event.tokens
                        else CacheEventKind.REMOVED,
                        self.clock.now_ms() - EVENTS_LAG_MS,
                        event.chat,
                        event.tokens,
                    )
                )

    async def fetch_events(self) -> list[EngineEvent]:
        """Return the events after the last one seen, none on a failure."""
        try:
            response = await self.client.get(
                f"{self.server}/cache/events", params={"after": self.last_event}
            )
            return msgspec.json.decode(response.content, type=EngineEvents).events
        except (httpx.HTTPError, msgspec.MsgspecError):
            return []

    async def fetch_prefixes(self) -> None:
        """Import prefixes from engines that are leaving or were only spill targets."""
        while True:
            fetch = self.planner.take_fetch()
            if fetch is None:
                await anyio.sleep(FETCH_INTERVAL_MS / MS_PER_S)
                continue
            tokens = await self.transfer.fetch(
                fetch.holder, fetch.chat, fetch.cached_tokens
            )
            await self.messages.send_all(self.planner.finish_fetch(fetch, tokens))

    def server_restarted(self) -> None:
        """Clear the index, since a restarted engine has an empty cache."""
        self.last_event = 0
        self.planner.apply(CacheEvent(CacheEventKind.CLEARED, self.clock.now_ms()))

    async def hand_over(self) -> int:
        """Offer warm prefixes to the next members in the ranking; return their number."""
        notices = self.planner.hand_over()
        for start in range(0, len(notices), HAND_OVER_BATCH_SIZE):
            await self.messages.send_all(notices[start : start + HAND_OVER_BATCH_SIZE])
            await anyio.sleep(HAND_OVER_INTERVAL_MS / MS_PER_S)
        return len(notices)
