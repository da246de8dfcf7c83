"""Records of streams in the platform's store, for routers that all start together."""

import asyncio
import contextlib

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .coordination.stream_origins import StreamOrigin
from .coordination.stream_records import reread_interval_ms, write_interval_ms
from .logs import STREAM_RECORDS_READ, Log
from .protocol.platform_interface import PlatformStore
from .state.peer_table import PeerTable

CHECK_INTERVAL_MS = 300
"""Time after which the streams are looked through although none has begun: since then a
pool may have another version."""

CLEAN_INTERVAL_MS = 30_000
"""Interval at which records that nobody needs any more are looked for."""

RETRY_DELAY_MS = 500
"""Delay after a failed call, since even refused calls are a load on the store."""

RETENTION_SPANS = 2
"""Records are removed when they have not changed for so many times the longest time
that a stream can be taken up."""

MAX_REMOVALS = 20
"""Records that are removed in one interval."""


class StreamRecordsSync:
    """Writes the streams of this router, and reads those of all routers when needed.

    ``seen_ms`` holds the records that may be removed, by name and revision, with the time
    at which they were first seen so.
    """

    def __init__(
        self,
        components: RouterComponents,
        store: PlatformStore,
        peers: PeerTable,
        log: Log,
    ) -> None:
        self.components = components
        self.records = components.stream_records
        self.store = store
        self.peers = peers
        self.log = log
        self.next_read_ms = 0
        self.read_task: asyncio.Task | None = None
        self.next_clean_ms = components.clock.now_ms() + CLEAN_INTERVAL_MS
        self.seen_ms: dict[tuple[str, int], int] = {}
        self.may_exist = True
        self.begun = asyncio.Event()
        self.records.on_unknown = self.begin_read
        self.records.on_begin = self.begun.set

    async def run(self) -> None:
        """Write the new streams at once or after an interval, and remove old records."""
        while True:
            self.begun.clear()
            interval_ms = write_interval_ms(self.components.fleet_size.count)
            try:
                await self.write()
                await self.clean_if_due()
            except TransportError:
                # Other tasks log that the store is lost.
                interval_ms = max(interval_ms, RETRY_DELAY_MS)
            await asyncio.sleep(interval_ms / MS_PER_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_MS / MS_PER_S):
                    await self.begun.wait()

    async def write(self) -> None:
        """Write the streams that the store lacks."""
        self.records.collect(self.components.version_sets.needs_record)
        self.may_exist |= bool(self.records.segments)
        for number in self.records.unwritten():
            segment = self.records.segments[number]
            count = len(segment.streams)
            self.count_call("save-stream-record")
            try:
                await self.store.save_stream_record(
                    f"{self.peers.own_router_id:x}-{segment.name}",
                    self.records.content(number),
                    segment.written_before,
                )
            except TransportError:
                self.records.record_unanswered(number)
                raise
            self.records.record_written(number, count)

    def forget(self) -> None:
        """Write and read all records again, since the store may have lost some."""
        self.records.forget_written()
        self.next_read_ms = 0

    def begin_read(self) -> None:
        """Begin to read the records of all routers, unless that was done lately."""
        now_ms = self.components.clock.now_ms()
        if self.records.reading or now_ms < self.next_read_ms:
            return
        interval_ms = reread_interval_ms(self.components.fleet_size.count)
        self.next_read_ms = now_ms + interval_ms
        self.records.reading = True
        self.read_task = asyncio.get_running_loop().create_task(self.read())

    async def read(self) -> None:
        """Read the records of all routers."""
        try:
            self.count_call("list-stream-records")
            records = await self.store.list_stream_records(stale=False)
        except TransportError:
            self.next_read_ms = self.components.clock.now_ms() + RETRY_DELAY_MS
            return
        finally:
            self.records.reading = False
        streams = 0
        for record in records:
            for group in record.groups:
                origin = StreamOrigin(group.pool, group.software_version)
                for stream, left_ms in group.streams:
                    self.components.stream_origins.record(
                        stream, origin, left_ms, from_store=True
                    )
                streams += len(group.streams)
        self.log.event(STREAM_RECORDS_READ, records=len(records), streams=streams)

    async def clean_if_due(self) -> None:
        """Remove records that have not changed for long, if this router is first."""
        now_ms = self.components.clock.now_ms()
        if now_ms < self.next_clean_ms:
            return
        self.next_clean_ms = now_ms + CLEAN_INTERVAL_MS
        if not self.may_exist or self.peers.store_reader_rank() > 0:
            self.seen_ms.clear()
            return
        self.count_call("list-stream-records-stale")
        records = await self.store.list_stream_records(stale=True)
        self.may_exist = bool(records)
        self.seen_ms = {
            (each.name, each.revision): self.seen_ms.get(
                (each.name, each.revision), now_ms
            )
            for each in records
        }
        span_ms = self.components.version_sets.longest_span_ms()
        oldest_ms = now_ms - RETENTION_SPANS * max(span_ms, CLEAN_INTERVAL_MS)
        old = [
            name for (name, _), seen_ms in self.seen_ms.items() if seen_ms < oldest_ms
        ]
        for name in old[:MAX_REMOVALS]:
            self.count_call("delete-stream-record")
            await self.store.delete_stream_record(name)

    def count_call(self, call: str) -> None:
        """Count a call to the store in the metrics."""
        self.components.metrics.store_calls[call] += 1
