"""Records of streams in the platform's store, for routers that all start together."""

import asyncio
import contextlib
from collections import deque

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import TransportError

from .components import RouterComponents
from .coordination.stream_origins import StreamOrigin
from .coordination.stream_records import reread_interval_ms, write_interval_ms
from .logs import STREAM_RECORDS_READ, STREAMS_NOT_STORED, STREAMS_STORED, Log
from .protocol.platform_interface import PlatformStore
from .settings import DEFAULT_WRITES_PER_S
from .state.peer_table import PeerTable

CHECK_INTERVAL_MS = 300
"""Interval at which the streams are looked through that needed no record so far: what is
known of the stored sets may have changed."""

STORE_WAIT_MS = 250
MAX_TURN_WAIT_MS = 1_000
"""Time for which the first event of a stream waits for the store's answer, and longest
time for which it waits for its turn to be written before that. After both, serving goes
first until a write has been answered."""

CLEAN_INTERVAL_MS = 30_000
CLEAN_CHECK_MS = 5_000
"""Interval at which records that nobody needs any more are looked for, and at which the
time for that is checked."""

RETRY_DELAY_MS = 500
"""Delay after a failed call, since even refused calls are a load on the store."""

RETENTION_SPANS = 2
"""Records are removed when they have not changed for so many times the longest time
that a stream can be taken up."""

MAX_REMOVALS = 20
"""Records that are removed in one interval."""


class StreamRecordsSync:
    """Writes the streams of this router, and reads those of all routers when needed.

    ``waiters`` are the first events that wait for their records, ``late`` tells that the
    store did not take a record in time. ``write_began_ms`` is when the last write began
    that was answered. ``seen_ms`` holds the records that may be removed,
    by name and revision, with the time at which they were first seen so.
    """

    def __init__(
        self,
        components: RouterComponents,
        store: PlatformStore,
        peers: PeerTable,
        log: Log,
        writes_per_s: float = DEFAULT_WRITES_PER_S,
    ) -> None:
        self.components = components
        self.records = components.stream_records
        self.store = store
        self.peers = peers
        self.log = log
        self.writes_per_s = writes_per_s
        self.next_read_ms = 0
        self.read_task: asyncio.Task | None = None
        self.next_clean_ms = components.clock.now_ms() + CLEAN_INTERVAL_MS
        self.seen_ms: dict[tuple[str, int], int] = {}
        self.may_exist = True
        self.begun = asyncio.Event()
        self.waiters: deque[asyncio.Future[None]] = deque()
        self.late = False
        self.times_forgotten = 0
        self.write_began_ms = 0
        self.next_collect_ms = 0
        self.records.needs_record = components.version_sets.needs_record
        self.records.on_unknown = self.begin_read
        self.records.on_begin = self.begun.set
        components.confirm_stored = self.confirm_stored

    async def run(self) -> None:
        """Write the new streams, at once or an interval after the last write."""
        while True:
            self.begun.clear()
            began_ms = self.components.clock.now_ms()
            interval_ms = 0
            try:
                if await self.write():
                    interval_ms = self.interval_ms()
            except TransportError:
                # Other tasks log that the store is lost.
                interval_ms = max(self.interval_ms(), RETRY_DELAY_MS)
            spent_ms = self.components.clock.now_ms() - began_ms
            await asyncio.sleep(max(interval_ms - spent_ms, 0) / MS_PER_S)
            if not self.records.unwritten():
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CHECK_INTERVAL_MS / MS_PER_S):
                        await self.begun.wait()

    async def clean(self) -> None:
        """Remove old records now and then, while new ones are written."""
        while True:
            with contextlib.suppress(TransportError):
                await self.clean_if_due()
            await asyncio.sleep(CLEAN_CHECK_MS / MS_PER_S)

    def interval_ms(self) -> int:
        """Return the shortest time between the begins of two writes."""
        return write_interval_ms(self.components.fleet_size.count, self.writes_per_s)

    async def write(self) -> bool:
        """Write the first segment with streams that the store lacks, if there is one."""
        self.collect_if_due()
        self.may_exist |= bool(self.records.segments)
        unwritten = self.records.unwritten()
        if not unwritten:
            return False
        number = unwritten[0]
        segment = self.records.segments[number]
        count = len(segment.streams)
        times_forgotten = self.times_forgotten
        began_ms = self.components.clock.now_ms()
        self.count_call("save-stream-record")
        self.records.writing = number
        try:
            await self.store.save_stream_record(
                f"{self.peers.own_router_id:x}-{segment.name}",
                self.records.content(number),
                segment.written_before,
            )
        except TransportError as error:
            self.records.record_unanswered(number)
            self.record_late(str(error))
            raise
        finally:
            self.records.writing = None
        if times_forgotten == self.times_forgotten:
            self.write_began_ms = began_ms
            self.records.record_written(number, count)
            self.record_in_time()
        return True

    def collect_soon(self) -> None:
        """Look through all streams, as servers or routes have changed."""
        self.next_collect_ms = 0
        self.begun.set()

    def collect_if_due(self) -> None:
        """Look through the streams that needed no record so far."""
        now_ms = self.components.clock.now_ms()
        if now_ms >= self.next_collect_ms:
            self.next_collect_ms = now_ms + CHECK_INTERVAL_MS
            self.components.version_sets.refresh(self.components.configuration.current)
            self.records.collect()

    async def confirm_stored(self, stream: int) -> bool:
        """Wait until the store holds the record of a stream if it needs one.

        Return whether a loss of all routers leaves its origin known. While the store is
        late with a record, nothing is waited for.
        """
        began_ms = self.components.clock.now_ms()
        was_awaited = self.records.is_awaited(stream)
        turn_wait_ms = min(2 * self.interval_ms(), MAX_TURN_WAIT_MS)
        try:
            async with asyncio.timeout((turn_wait_ms + STORE_WAIT_MS) / MS_PER_S):
                while not self.late and self.records.is_awaited(stream):
                    written = asyncio.get_running_loop().create_future()
                    self.waiters.append(written)
                    await written
        except TimeoutError:
            self.record_late("no answer in time")
        if was_awaited:
            self.observe_wait(stream, began_ms)
        return self.records.is_safe(stream)

    def observe_wait(self, stream: int, began_ms: int) -> None:
        """Count for what a first event has waited since ``began_ms``."""
        metrics, now_ms = self.components.metrics, self.components.clock.now_ms()
        if self.records.is_awaited(stream):
            metrics.observe_first_event_wait("late", now_ms - began_ms)
            return
        written_ms = max(self.write_began_ms, began_ms)
        metrics.observe_first_event_wait("turn", written_ms - began_ms)
        metrics.observe_first_event_wait("write", now_ms - written_ms)

    def record_late(self, error: str) -> None:
        """Let first events go before their records, as the store takes none."""
        if not self.late:
            self.late = True
            self.log.event(
                STREAMS_NOT_STORED, streams=len(self.records.awaited), error=error
            )
        self.wake_waiters()

    def record_in_time(self) -> None:
        """Let the first events go whose records are stored, and later ones wait again."""
        if self.late:
            self.late = False
            self.log.event(STREAMS_STORED, awaited=len(self.records.awaited))
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Let the waiting first events look again whether they may go."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)

    def forget(self) -> None:
        """Write and read all records again, since the store may have lost some.

        Those that this router has read may be of routers that are gone.
        """
        self.times_forgotten += 1
        for stream in self.components.stream_origins.read_from_store():
            self.records.adopt(stream)
        self.collect_soon()
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
        old = [each for each, seen_ms in self.seen_ms.items() if seen_ms < oldest_ms]
        for name, revision in old[:MAX_REMOVALS]:
            self.count_call("delete-stream-record")
            await self.store.delete_stream_record(name, revision)

    def count_call(self, call: str) -> None:
        """Count a call to the store in the metrics."""
        self.components.metrics.store_calls[call] += 1
