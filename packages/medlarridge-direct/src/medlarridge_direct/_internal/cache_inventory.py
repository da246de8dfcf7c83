"""Rebuilds the prompt cache index from the servers after all routers have lost it."""

import asyncio
from collections.abc import Callable
from heapq import nlargest

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .coordination.memory_account import HeldControl
from .logs import CACHE_INDEX_SYNCED, Log
from .peer_reports import PeerReports
from .protocol.requests import PromptPart
from .protocol.servers import BackendServer
from .state.peer_table import PeerTable
from .transport.http_connection import (
    STATUS_OK,
    Broken,
    Data,
    Exchange,
    RawResponseHead,
)

PEER_DISCOVERY_MS = 120
"""Time after the start in which routers that start together discover each other; one
interval of their reports is added."""

CHECK_INTERVAL_MS = 20
MAX_INVENTORY_BYTES = 2 * 1024 * 1024
"""Size above which a list of cached parts is ignored; an entry has about 40 bytes."""

ENTRY_BYTES = 256
"""Memory for each listed part until all lists are indexed, with its ID and its pairs."""

LISTS_PART = 2
"""One list may take a half of what is free for responses to the router itself."""

CALL_TIMEOUT_MS = 500
"""A server lists its cached prompt parts in a few milliseconds."""

CONNECTION_LIMIT = 64


class CacheInventory:
    """Queries the servers once, unless another router already has a synced index."""

    def __init__(
        self,
        components: RouterComponents,
        peers: PeerTable,
        peer_reports: PeerReports,
        log: Log,
    ) -> None:
        self.components = components
        self.peers = peers
        self.peer_reports = peer_reports
        self.log = log
        self.held = HeldControl(components.memory)

    async def run(self) -> None:
        """Wait until a peer has synced the index, or sync it if ranked first.

        Requests arrive as soon as the router is ready, so the router with the first
        address does not wait until the rank is known.
        """
        cache_index = self.components.placement.cache_index
        discovered_ms = (
            self.components.clock.now_ms()
            + PEER_DISCOVERY_MS
            + self.peer_reports.interval_ms()
        )
        while not cache_index.synced:
            if not self.components.evacuations.is_known:
                await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
                continue
            if any(peer.cache_index_synced for peer in self.peers.live_peers()):
                cache_index.synced = True
                self.log.event(CACHE_INDEX_SYNCED, source="peers")
            elif self.model_servers() and (
                self.peers.has_first_address()
                or (
                    self.components.clock.now_ms() >= discovered_ms
                    and self.peers.store_reader_rank() == 0
                )
            ):
                await self.query_servers()
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)

    async def query_servers(self) -> None:
        """Index what all model servers cache and announce it to the other routers."""
        cache_index = self.components.placement.cache_index
        servers = self.model_servers()
        try:
            inventories = await asyncio.gather(
                *(self.query_server(server) for server in servers)
            )
        finally:
            # Nothing else runs until the lists are indexed.
            self.held.release()
        cached = [
            (part, server.instance)
            for server, parts in zip(servers, inventories, strict=True)
            for part in parts or ()
        ]
        # Reports take some time; the parts that take longest to process come first.
        cached.sort(key=lambda entry: -entry[0].tokens)
        entries = [(part.part_id, instance) for part, instance in cached]
        for part_id, instance in entries:
            cache_index.record_processed_part(part_id, instance)
        cache_index.synced = True
        self.peer_reports.announce_processed_parts(entries)
        self.log.event(
            CACHE_INDEX_SYNCED,
            source="servers",
            asked=len(servers),
            answered=sum(parts is not None for parts in inventories),
        )

    def model_servers(self) -> list[BackendServer]:
        """Return the servers of pools that run models."""
        configuration = self.components.configuration.current
        if configuration is None:
            return []
        return [
            server
            for name, pool in configuration.pools.items()
            if pool.runs_models
            for server in self.components.servers.ready(name)
        ]

    async def query_server(self, server: BackendServer) -> list[PromptPart] | None:
        """Return the parts that a server caches, or None on failure.

        A server that needs permits is not asked, since a request can use the permit,
        and one that wants no requests or is evacuated neither.
        """
        if self.components.permits.is_needed(
            server
        ) or not self.components.notices.accepts(server.start):
            return None
        evacuations = self.components.evacuations
        if not evacuations.accepts(server.data_centre):
            return None
        try:
            # The list names no request, so nothing else may be answered before it.
            connection = await self.components.connections.open(
                server, CONNECTION_LIMIT
            )
            if not evacuations.accepts(server.data_centre):
                self.components.connections.release(server, connection, None)
                return None
            exchange = connection.start(
                b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n"
                % (self.components.dialect.inventory_path, server.address.encode())
            )
        except TransportError:
            return None
        asked_ms = self.components.clock.now_ms()

        def record_notice(head: RawResponseHead) -> None:
            """Keep what the server says of itself, as in answers to requests."""
            parsed = self.components.dialect.parse_response(
                head.status, head.reason, head.headers
            )
            self.components.notices.record(server.start, parsed.notice, asked_ms)
            self.components.cold_servers.record_response(
                server.start, parsed.cold_ms, asked_ms
            )

        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_S):
                body = await read_body(exchange, record_notice)
        except TimeoutError:
            body = None
        if body is None:
            connection.release()
            connection.abort()
            return None
        self.components.connections.release(server, connection, None)
        parts = self.components.dialect.parse_inventory(body)
        return None if parts is None else self.keep_costliest(parts)

    def keep_costliest(self, parts: list[PromptPart]) -> list[PromptPart]:
        """Hold as many parts as there is memory for, those with the most tokens."""
        room = self.components.memory.control_left() // LISTS_PART // ENTRY_BYTES
        if len(parts) > room:
            parts = nlargest(room, parts, key=lambda part: part.tokens)
        self.held.grow_to(self.held.size + len(parts) * ENTRY_BYTES)
        return parts


async def read_body(
    exchange: Exchange, on_head: Callable[[RawResponseHead], None]
) -> bytes | None:
    """Return the body of a successful response, or None, also if it is too large."""
    body = bytearray()
    held = HeldControl(exchange.connection.memory)
    successful = False
    try:
        while True:
            event = await exchange.next_event()
            if isinstance(event, RawResponseHead):
                on_head(event)
                successful = event.status == STATUS_OK
            elif isinstance(event, Data):
                body += event.data
                if len(body) > MAX_INVENTORY_BYTES or not held.grow_to(len(body)):
                    return None
            elif isinstance(event, Broken):
                return None
            else:
                return bytes(body) if successful else None
    finally:
        held.release()
