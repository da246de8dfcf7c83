"""Bound on what the reads of connections may cost in one turn of the event loop.

The cost of a read is counted in units, for its bytes and for each piece that the parser or
a stream makes of it, and not in time, which depends on the machine. A connection is paused
if its read made too many pieces, or if it has more to read when the units of the turn are
spent. Paused ones go on in the order in which they were paused: as many in each turn as
half of its units allow, but only one whose read made too many pieces, and that with a
small read. So all of them together take a bounded part of a turn, however many they are.
"""

import asyncio
from collections import deque
from typing import Protocol

from ..coordination.memory_account import FLOOR_BYTES, KIB

MAX_CHEAP_PIECES = 64
"""Pieces of a read up to which it is cheap: a head with its headers and a few chunks."""

BYTES_PER_UNIT = 128
"""Bytes that cost as much as a piece, until they are passed on."""

MESSAGE_PIECES = 16
"""What a message counts for, as its head is matched with the request."""

TURN_UNITS = 4_096
"""Units in one turn after which connections wait for the next one, about 1 ms."""

SMALL_READ_BYTES = FLOOR_BYTES
"""Size of the first read of a connection and of those after an expensive one."""

SPENT_READ_BYTES = 16 * KIB
"""Size of the other reads once the units of a turn are spent."""


class PacedReader(Protocol):
    """A connection that waits for its turn."""

    def begin_turn(self) -> int:
        """Read on; return the units that this will cost, 0 if it cannot read now."""


class ReadPacer:
    """Turns of the connections whose reads are expensive.

    ``units`` is what the reads since the last turn have cost.
    """

    def __init__(self) -> None:
        self.loop: asyncio.AbstractEventLoop | None = None
        self.waiting: deque[PacedReader] = deque()
        self.units = 0

    @property
    def is_spent(self) -> bool:
        """Return whether the units of this turn are spent."""
        return self.units > TURN_UNITS

    def count(self, units: int) -> None:
        """Count the units of a read."""
        self.schedule_turn()
        self.units += units

    def wait(self, reader: PacedReader) -> None:
        """Give a paused connection a later turn."""
        self.schedule_turn()
        self.waiting.append(reader)

    def schedule_turn(self) -> None:
        """Have the next turn begin when the event loop has handled this one."""
        loop = asyncio.get_running_loop()
        if self.loop is not loop:
            # Nothing is left of an event loop that has ended.
            self.waiting.clear()
            self.units = 0
            self.loop = loop
        elif self.waiting or self.units:
            return
        loop.call_soon(self.begin_turn)

    def begin_turn(self) -> None:
        """Begin a turn: let the first connections read on."""
        self.units = 0
        left = TURN_UNITS // 2
        while self.waiting and left > 0:
            left -= self.waiting.popleft().begin_turn()
        if self.waiting and self.loop is not None:
            self.loop.call_soon(self.begin_turn)


class ReadPace:
    """Pace of the reads of one connection.

    ``pieces`` counts those of the read that is being parsed, ``units`` is what the last
    read has cost.
    """

    def __init__(self, pacer: ReadPacer) -> None:
        self.pacer = pacer
        self.pieces = 0
        self.units = 0
        self.must_wait = False
        self.reads_small = True

    def read_size(self, free_bytes: int) -> int:
        """Return how many bytes are read at once if memory allows this many."""
        if self.reads_small:
            return min(SMALL_READ_BYTES, free_bytes)
        if self.pacer.is_spent:
            return min(SPENT_READ_BYTES, free_bytes)
        return free_bytes

    def end_read(self, size: int) -> bool:
        """Count a read of this size; return whether the connection must wait."""
        pieces, self.pieces = self.pieces, 0
        is_expensive = pieces > MAX_CHEAP_PIECES
        if not is_expensive and size < SMALL_READ_BYTES:
            self.must_wait = False
            return False
        self.units = pieces + size // BYTES_PER_UNIT
        self.pacer.count(self.units)
        if is_expensive:
            self.units = TURN_UNITS
        self.reads_small = is_expensive
        self.must_wait = is_expensive or self.pacer.is_spent
        return self.must_wait


READ_PACER = ReadPacer()
CLIENT_READ_PACER = ReadPacer()
"""The turns of all connections to servers and of all from clients, which do not wait for
each other. There is one event loop."""
