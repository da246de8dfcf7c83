"""Segments of the streams that a router stores while versions serve side by side."""

import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.stream_origins import (
    StreamOrigin,
    StreamOrigins,
)
from medlarridge_direct._internal.coordination.stream_records import (
    MAX_BATCH_STREAMS,
    MAX_SEGMENT_STREAMS,
    MAX_SEGMENTS,
    MAX_STREAMS,
    MIN_WRITE_INTERVAL_MS,
    StreamRecords,
    write_interval_ms,
)


class RecordedStreams(StreamRecords):
    """Records that begin streams of a pool for tests."""

    last: int = 0

    def begin_some(self, count, pool="models", left_ms=10_000):
        for _ in range(count):
            self.last += 1
            origin = StreamOrigin(pool, "v1")
            self.origins.record(self.last, origin, left_ms)
            self.begin(self.last)

    def need(self, *pools):
        """Let the streams of these pools need a record from now on."""
        self.needs_record = lambda pool, place: pool in pools
        self.collect()

    def stored_after_writes(self):
        """Write all; return the streams that the store holds then."""
        self.write()
        assert not self.awaited
        return self.held

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
        records.need("models")
        assert [group.pool for group in records.content(0)] == ["models"]
        assert records.stored_after_writes() == {4, 5}
        records.need("models", "calm")
        assert records.stored_after_writes() == {1, 2, 3, 4, 5}

    def test_only_segments_that_have_grown_are_written(self, records):
        """Guards against writes of all streams again and again."""
        records.need("models")
        records.begin_some(MAX_SEGMENT_STREAMS + 1)
        assert sorted(records.write()) == [0, 1]
        assert records.write() == []
        records.begin_some(1)
        assert records.write() == [1]

    def test_a_stream_that_begins_during_a_write_is_written_by_the_next(self, records):
        """Guards against a stream that counts as stored although it is not."""
        records.need("models")
        records.begin_some(1)
        count = len(records.segments[0].streams)
        records.begin_some(1)
        records.record_written(0, count)
        assert records.unwritten() == [0]
        assert not records.is_awaited(1)
        assert records.is_awaited(2)

    def test_a_segment_is_not_used_again_during_its_write(self, records):
        """Guards against a stream that counts as stored by a write of others."""
        records.need("models")
        records.begin_some(MAX_SEGMENT_STREAMS)
        records.writing = 0
        records.clock.advance(11_000)
        records.origins.expire()
        records.begin_some(1)
        records.record_written(0, MAX_SEGMENT_STREAMS)
        assert records.is_awaited(MAX_SEGMENT_STREAMS + 1)

    def test_segments_of_old_streams_are_used_again(self, records):
        """Guards against objects in the store that grow in number with time."""
        records.need("models")
        for _ in range(20):
            records.begin_some(MAX_SEGMENT_STREAMS)
            records.write()
            records.clock.advance(6_000)
            records.origins.expire()
        assert len(records.segments) <= 3

    def test_the_segments_are_limited(self, records):
        """Guards against memory and writes that grow with a flood of streams."""
        records.need("models")
        records.begin_some(MAX_STREAMS + 10)
        assert len(records.segments) == MAX_SEGMENTS
        assert len(records.held) == MAX_STREAMS
        assert records.dropped == 10

    def test_streams_that_come_to_need_a_record_are_limited(self, records):
        """Guards against memory and values that grow with a release under load."""
        records.begin_some(MAX_STREAMS + 10)
        records.need("models")
        assert len(records.held) == MAX_STREAMS
        assert records.dropped == 10
        most = max(len(segment.streams) for segment in records.segments)
        assert most <= MAX_BATCH_STREAMS

    def test_streams_that_come_to_need_a_record_share_a_write(self, records):
        """Guards against LOST: the streams before a release take many writes."""
        records.begin_some(MAX_BATCH_STREAMS)
        records.need("models")
        assert len(records.write()) == 1

    def test_new_streams_are_written_before_earlier_ones(self, records):
        """Guards against first events that wait for records of streams before them."""
        records.begin_some(3 * MAX_BATCH_STREAMS)
        records.need("models")
        records.begin_some(1)
        assert records.unwritten()[0] == records.current

    def written_in_turn(self, records, count, begun_between):
        """Write one segment at a time while streams begin; return the numbers."""
        numbers = []
        for _ in range(count):
            number = records.unwritten()[0]
            records.record_written(number, len(records.segments[number].streams))
            numbers.append(number)
            records.begin_some(begun_between)
        return numbers

    def test_a_full_segment_is_written_although_streams_begin(self, records):
        """Guards against first events that wait until no other stream begins."""
        records.need("models")
        records.begin_some(MAX_SEGMENT_STREAMS + 1)
        assert set(self.written_in_turn(records, 2, begun_between=1)) == {0, 1}

    def test_earlier_streams_are_written_although_streams_begin(self, records):
        """Guards against LOST: a release during which streams begin all the time."""
        records.begin_some(MAX_BATCH_STREAMS)
        records.need("models")
        records.begin_some(1)
        assert 0 in self.written_in_turn(records, 2, begun_between=1)

    def test_a_stream_is_held_once(self, records):
        """Guards against a second record of a stream that is taken up here."""
        records.need("models")
        records.begin_some(1)
        records.begin(1)
        assert records.stored_after_writes() == {1}
        assert records.content(0)[0].streams == [(1, 10_000)]

    def test_streams_that_nobody_can_take_up_are_forgotten(self, records):
        """Guards against memory that grows with each stream in calm times."""
        records.begin_some(100)
        records.clock.advance(11_000)
        records.origins.expire()
        records.collect()
        assert not records.unstored

    def test_all_are_written_again_when_the_store_has_lost_some(self, records):
        """Guards against records that are missing after a drill."""
        records.need("models")
        records.begin_some(MAX_SEGMENT_STREAMS + 1)
        records.write()
        records.forget_written()
        assert sorted(records.unwritten()) == [0, 1]


class TestWriteInterval:
    @pytest.mark.parametrize("writes_per_s", [400, 3_200])
    @pytest.mark.parametrize("routers", [1, 4, 20, 68, 1_000])
    def test_the_fleet_keeps_to_its_share_of_the_writes(self, routers, writes_per_s):
        """Guards against records that leave no writes to the rest."""
        interval_ms = write_interval_ms(routers, writes_per_s)
        assert routers * 1_000 / interval_ms <= writes_per_s / 2
        assert interval_ms >= MIN_WRITE_INTERVAL_MS
