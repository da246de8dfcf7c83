"""Holds a stream to the pool and the software version that began it."""

import asyncio

from medlarridge._internal.clock import MS_PER_S

from .components import RouterComponents
from .coordination.hashing import stream_key
from .coordination.stream_origins import RESUME_MARGIN_MS, StreamOrigin
from .logs import RequestLog
from .protocol.configuration import Pool, Route, RouteKind
from .protocol.requests import RequestMetadata
from .protocol.servers import BackendServer

LOOKUP_TIMEOUT_MS = 300
"""Time in which the report arrives that names a stream: its client may come back sooner.
Reports of 25 routers are 200 ms apart."""

READ_TIMEOUT_MS = 1_000
"""Time that is waited for the records in the store, from which the stream may come."""

LOOKUP_INTERVAL_MS = 20


class StreamContinuity:
    """Origin of the stream of one request; None until the first event was delivered.

    A request that takes a stream up has the origin of that stream from the start.
    """

    def __init__(
        self,
        components: RouterComponents,
        route: Route,
        metadata: RequestMetadata,
        log: RequestLog,
    ) -> None:
        self.components = components
        self.route = route
        self.metadata = metadata
        self.log = log
        self.origin: StreamOrigin | None = None
        self.recorded = False

    @property
    def stream(self) -> int:
        """Return the key of the request that brought the stream's first event."""
        first_request = self.metadata.resumes if self.takes_up_stream else None
        return stream_key(first_request or self.metadata.request_id)

    @property
    def takes_up_stream(self) -> bool:
        """Return whether the request asks for the rest of a stream."""
        return (
            self.route.kind is RouteKind.STREAM
            and self.metadata.resume_after is not None
        )

    @property
    def software_version(self) -> str | None:
        """Return the only version that may go on, or None if any may begin."""
        return None if self.origin is None else self.origin.software_version

    async def find_pool(self, pool: Pool) -> Pool | None:
        """Find where the stream began; return the pool in which it goes on.

        Without a record, the stream began at the only version that ``pool`` had since,
        by what the store holds after the request has come. Return None if that is not
        known, or if the route leads elsewhere now.
        """
        self.origin = await self.look_up(pool)
        source = self.record_source()
        if self.origin is None and await self.components.confirm_versions():
            self.origin = self.infer_from_only_version(pool)
            source = self.inference_source()
            if self.origin is None:
                # Another version has come to light, so there may be a record.
                self.origin = await self.look_up(pool)
                source = self.record_source()
        self.log.stream_taken_up(self.metadata, self.origin, source)
        configuration = self.components.configuration.current
        if self.origin is None or configuration is None:
            return None
        pool_name = self.origin.pool
        if all(share.pool != pool_name for share in self.route.pools):
            return None
        return configuration.find_pool(pool_name)

    async def look_up(self, pool: Pool) -> StreamOrigin | None:
        """Return the recorded origin; wait a moment for the report that names it.

        The records in the store are read if nothing else can tell the origin.
        """
        if self.metadata.resumes is None:
            return None
        stream = stream_key(self.metadata.resumes)
        origins, records = (
            self.components.stream_origins,
            self.components.stream_records,
        )
        waited_ms = 0
        while origins.find(stream) is None:
            if self.infer_from_only_version(pool) is None:
                records.on_unknown()
            timeout_ms = READ_TIMEOUT_MS if records.reading else LOOKUP_TIMEOUT_MS
            if waited_ms >= timeout_ms:
                break
            await asyncio.sleep(LOOKUP_INTERVAL_MS / MS_PER_S)
            waited_ms += LOOKUP_INTERVAL_MS
        return origins.find(stream)

    def record_source(self) -> str:
        """Return from where the origin of a recorded stream is known."""
        if self.origin is None:
            return "unknown"
        stream = stream_key(self.metadata.resumes or "")
        from_store = self.components.stream_origins.is_from_store(stream)
        return "stored-record" if from_store else "record"

    def inference_source(self) -> str:
        """Return what an inferred origin rests on."""
        if self.origin is None:
            return "unknown"
        versions = self.components.servers.versions
        by_lists = versions.listed_throughout(self.span_ms)
        return "only-version" if by_lists else "stored-versions"

    @property
    def span_ms(self) -> int:
        """Return for how long a stream of the route may be taken up after its begin."""
        return self.route.timeout_ms + RESUME_MARGIN_MS

    def held_back_versions(self, pool: Pool) -> set[str]:
        """Return the versions at which the stream should not begin if others serve."""
        if self.origin is not None or not self.route.resumable:
            return set()
        return self.components.version_sets.held_back(pool.name)

    def infer_from_only_version(self, pool: Pool) -> StreamOrigin | None:
        """Return the origin if only one version can have begun the stream.

        That rests on the newest list, configuration and stored versions of this router.
        """
        servers = self.components.servers
        routes = self.components.version_sets.routes
        routes.refresh(self.components.configuration.current)
        place = self.route.place
        if not routes.is_settled(place, pool.name, self.span_ms):
            return None
        version = servers.versions.only_version(pool.name, self.span_ms)
        return None if version is None else StreamOrigin(pool.name, version)

    async def record_first_event(
        self, server: BackendServer, remaining_ms: int
    ) -> None:
        """Hold the stream to the server's version before its first event is sent.

        Wait until a loss of all routers would leave the origin known, unless the store
        takes no record now.
        """
        if self.recorded:
            return
        self.recorded = True
        stream = self.stream
        if self.origin is None:
            self.origin = StreamOrigin(server.pool, server.software_version)
            self.components.on_stream_begun(stream)
        self.components.stream_origins.record(
            stream, self.origin, remaining_ms + RESUME_MARGIN_MS
        )
        if not self.components.stream_origins.is_from_store(stream):
            configuration = self.components.configuration.current
            self.components.version_sets.refresh(configuration)
            self.components.stream_records.begin(stream, self.route.place)
            if not await self.components.confirm_stored(stream):
                self.components.metrics.streams_not_stored += 1
