"""Use of the prompts that servers cache, for one request."""

import asyncio

from medlarridge._internal.clock import MS_PER_S

from .components import RouterComponents
from .coordination.capacity_placement import FETCH_COST
from .coordination.prompt_cache_index import shared_prefix
from .logs import RequestLog
from .protocol.configuration import Route
from .protocol.requests import PromptPart
from .protocol.servers import BackendServer

MAX_WAIT_SHARE = 0.5
"""Longest wait for a prompt that a server is processing, as a share of the route's
latency objective."""


class PromptReuse:
    """Avoids that servers process the prompt of a request again.

    ``prompt`` is empty if the route does not use cached prompts. ``new_tokens`` is the
    number of shared tokens that the server of the last attempt had to process, and
    ``reused_tokens`` the number that it did not, less the time to fetch them. ``source``
    is the server from which that one was told to fetch cached parts.
    """

    def __init__(
        self,
        components: RouterComponents,
        route: Route,
        prompt: tuple[PromptPart, ...],
        log: RequestLog,
    ) -> None:
        self.components = components
        self.route = route
        self.prompt = prompt if route.uses_prompt_cache else ()
        self.log = log
        self.waited = False
        self.new_tokens = 0
        self.source: BackendServer | None = None
        self.reused_tokens = 0

    async def wait_until_processed(self, server: BackendServer) -> bool:
        """Wait once while a server processes the same prompt; return whether it did.

        Sent now, the request would make the server process the prompt a second time.
        """
        if self.waited:
            return False
        wait_ms = min(
            self.components.placement.processing_ms_left(server, self.prompt),
            MAX_WAIT_SHARE * self.route.objective_ms,
        )
        if wait_ms < 1:
            return False
        self.waited = True
        self.log.prompt_awaited(server, wait_ms)
        await asyncio.sleep(wait_ms / MS_PER_S)
        return True

    def record_sent(self, server: BackendServer) -> BackendServer | None:
        """Index what an attempt caches; return the server to fetch parts from."""
        if not self.prompt:
            return None
        evacuations = self.components.evacuations
        fetches_anywhere = evacuations.accepts_all
        health, now_ms = self.components.health, self.components.clock.now_ms()
        others = [
            other
            for other in self.components.servers.fetch_sources(server.pool)
            if not health.is_unreachable(other.instance, now_ms)
            and (fetches_anywhere or evacuations.may_fetch_from(other.data_centre))
        ]
        placement = self.components.placement
        cache_index = placement.cache_index
        source = placement.fetch_source(server, self.prompt, others)
        self.source = source
        self.new_tokens = 0
        missing = cache_index.uncached_tokens(self.prompt, server.instance)
        shared = sum(part.tokens for part in shared_prefix(self.prompt))
        if source is None:
            self.new_tokens = missing
            self.reused_tokens = shared - missing
        else:
            self.reused_tokens = shared - round(FETCH_COST * missing)
        cached_parts = cache_index.record_prompt(self.prompt, server.instance)
        if cached_parts:
            self.components.on_parts_cached(cached_parts)
        return source

    def record_processed(self, server: BackendServer, elapsed_ms: int) -> None:
        """Record that a server has processed the prompt, and in what time."""
        placement = self.components.placement
        if self.new_tokens:
            placement.pace.record(server.pool, self.new_tokens, elapsed_ms)
        placement.cache_index.record_processed(self.prompt, server.instance)
