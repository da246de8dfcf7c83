"""Rebuilds the prompt cache index from the servers after all routers have lost it."""

import asyncio

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .logs import CACHE_INDEX_SYNCED, Log
from .peer_reports import PeerReports
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

CHECK_INTERVAL_MS = 100
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

    async def run(self) -> None:
        """Wait until a peer has synced the index, or sync it if ranked first."""
        cache_index = self.components.placement.cache_index
        await asyncio.sleep(
            (PEER_DISCOVERY_MS + self.peer_reports.interval_ms()) / MS_PER_S
        )
        while not cache_index.synced:
            if any(peer.cache_index_synced for peer in self.peers.live_peers()):
                cache_index.synced = True
                self.log.event(CACHE_INDEX_SYNCED, source="peers")
            elif (
                self.components.servers.confirmed_ms is not None
                and self.peers.store_reader_rank() == 0
            ):
                await self.query_servers()
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)

    async def query_servers(self) -> None:
        """Index what all model servers cache and announce it to the other routers."""
        cache_index = self.components.placement.cache_index
        servers = self.model_servers()
        inventories = await asyncio.gather(
            *(self.query_server(server) for server in servers)
        )
        answered = 0
        for server, part_ids in zip(servers, inventories, strict=True):
            if part_ids is None:
                continue
            answered += 1
            for part_id in part_ids:
                cache_index.record(part_id, server.instance)
        cache_index.synced = True
        self.peer_reports.announce_cached_parts(cache_index.entries())
        self.log.event(
            CACHE_INDEX_SYNCED, source="servers", asked=len(servers), answered=answered
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

    async def query_server(self, server: BackendServer) -> list[str] | None:
        """Return the IDs of the parts that a server caches, or None on failure."""
        try:
            connection = await self.components.connections.acquire(
                server, CONNECTION_LIMIT
            )
            exchange = connection.start(
                b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n"
                % (self.components.dialect.inventory_path, server.address.encode())
            )
        except TransportError:
            return None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_S):
                body = await read_body(exchange)
        except TimeoutError:
            body = None
        if body is None:
            connection.abort()
            return None
        self.components.connections.release(server, connection, None)
        return self.components.dialect.parse_inventory(body)


async def read_body(exchange: Exchange) -> bytes | None:
    """Return the body of a successful response, or None."""
    body = bytearray()
    successful = False
    while True:
        event = await exchange.next_event()
        if isinstance(event, RawResponseHead):
            successful = event.status == STATUS_OK
        elif isinstance(event, Data):
            body += event.data
        elif isinstance(event, Broken):
            return None
        else:
            return bytes(body) if successful else None
