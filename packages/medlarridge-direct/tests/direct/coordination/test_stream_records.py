"""Segments of the streams that a router stores while versions serve side by side."""

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.stream_origins import (
    StreamOrigin,
    StreamOrigins,
)
from medlarridge_direct._internal.coordination.stream_records import (
    MAX_SEGMENT_STREAMS,
    MAX_SEGMENTS,
    WRITE_INTERVAL_MS,
    WRITE_INTERVAL_PER_ROUTER_MS,
    StreamRecords,
    write_interval_ms,
)

MAX_FLEET_WRITES_PER_S = 200
"""A half of the writes that the smallest deployment may make."""


def of(*pools):
    """Return that the streams of these pools need a record."""
    return lambda pool, place: pool in pools


class RecordedStreams(StreamRecords):
    """Records that begin streams of a pool for tests."""

    last: int = 0

    def begin_some(self, count, pool="models", left_ms=10_000):
        for _ in range(count):
            self.last += 1
            origin = StreamOrigin(pool, "v1")
            self.origins.record(self.last, origin, left_ms)
            self.begin(self.last)

    def write(self):
        """Write what is not stored; return the numbers of the segments."""
        written = self.unwritten()
        for number in written:
            self.record_written(number, len(self.segments[number].streams))
        return written


@pytest.fixture
def records():
    clock = ManualClock(1_000_000)
    return RecordedStreams(clock, StreamOrigins(clock))


class TestSegments:
    def test_only_streams_of_mixed_pools_are_stored(self, records):
        """Guards against writes for streams whose version can be inferred."""
        records.begin_some(3, pool="calm")
        records.begin_some(2, pool="models")
        records.collect(of("models"))
        assert [group.pool for group in records.content(0)] == ["models"]
        records.collect(of("models", "calm"))
        assert sum(len(each.streams) for each in records.content(0)) == 5

    def test_only_segments_that_have_grown_are_written(self, records):
        """Guards against writes of all streams again and again."""
        records.begin_some(MAX_SEGMENT_STREAMS + 1)
        records.collect(of("models"))
        assert records.write() == [0, 1]
        assert records.write() == []
        records.begin_some(1)
        records.collect(of("models"))
        assert records.write() == [1]

    def test_a_stream_that_begins_during_a_write_is_written_by_the_next(self, records):
        """Guards against a stream that counts as stored although it is not."""
        records.begin_some(1)
        records.collect(of("models"))
        count = len(records.segments[0].streams)
        records.begin_some(1)
        records.collect(of("models"))
        records.record_written(0, count)
        assert records.unwritten() == [0]

    def test_segments_of_old_streams_are_used_again(self, records):
        """Guards against objects in the store that grow in number with time."""
        for _ in range(20):
            records.begin_some(MAX_SEGMENT_STREAMS)
            records.collect(of("models"))
            records.write()
            records.clock.advance(6_000)
            records.origins.expire()
        assert len(records.segments) <= 3

    def test_the_segments_are_limited(self, records):
        """Guards against memory and writes that grow with a flood of streams."""
        most = MAX_SEGMENTS * MAX_SEGMENT_STREAMS
        records.begin_some(most + 10)
        records.collect(of("models"))
        assert len(records.segments) == MAX_SEGMENTS
        assert records.dropped == 10

    def test_streams_that_nobody_can_take_up_are_forgotten(self, records):
        """Guards against memory that grows with each stream in calm times."""
        records.begin_some(100)
        records.clock.advance(11_000)
        records.origins.expire()
        records.collect(of())
        assert not records.unstored

    def test_all_are_written_again_when_the_store_has_lost_some(self, records):
        """Guards against records that are missing after a drill."""
        records.begin_some(MAX_SEGMENT_STREAMS + 1)
        records.collect(of("models"))
        records.write()
        records.forget_written()
        assert records.unwritten() == [0, 1]


class TestWriteInterval:
    @pytest.mark.parametrize("routers", [1, 4, 20, 68, 1_000])
    def test_the_fleet_keeps_to_its_share_of_the_writes(self, routers):
        """Guards against records that leave no writes to the rest."""
        writes_per_s = routers * 1_000 / write_interval_ms(routers)
        assert writes_per_s <= MAX_FLEET_WRITES_PER_S
        assert write_interval_ms(routers) >= WRITE_INTERVAL_MS
        assert 1_000 / WRITE_INTERVAL_PER_ROUTER_MS == MAX_FLEET_WRITES_PER_S
