"""What membership sends: probes, answers, queued and urgent news."""

from typing import TypeVar

import msgspec

from ..identity import Member
from ..protocol.gossip import (
    Ack,
    Ping,
    Push,
    Status,
    StatusUpdate,
    Update,
    encode,
)
from .member_events import Action, Send
from .member_table import MemberTable, Record
from .probing import Probe, Prober, Purpose
from .update_queue import UpdateQueue

MAX_DATAGRAM_BYTES = 400
DATAGRAM_OVERHEAD_BYTES = 9
"""Kind byte and keyed digest."""
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES
PUSH_PEERS = 3
URGENT_BURST = 4
URGENT_INTERVAL_MS = 1000

Message = TypeVar("Message", Ping, Ack, Push)


class Outbox:
    """Builds the messages of one process from its record and its news.

    ``generation`` is that of the configuration; all messages carry it.
    """

    def __init__(self, table: MemberTable, prober: Prober, own_record: Record) -> None:
        self.table = table
        self.prober = prober
        self.own_record = own_record
        self.number = own_record.number
        self.generation = 0
        self.queue = UpdateQueue()
        self.urgent_tokens = float(URGENT_BURST)
        self.urgent_refill_ms = own_record.status_ms

    def ping(self, probe: Probe) -> Send:
        """Return the datagram of a probe."""
        first: list[Update] = []
        record = self.table.get(probe.address)
        if record is None:
            first.append(self.own_record.announcement())
        elif record.status is not Status.ALIVE:
            first.append(verdict_of(record))
        message = Ping(
            probe.sequence,
            self.number,
            self.own_record.incarnation,
            probe.number,
            self.generation,
            self.table.digest,
        )
        if probe.purpose is Purpose.ROUTINE:
            return Send(probe.address, self.fill(message, first))
        return Send(probe.address, attach(message, first))

    def ack(self, source: str, message: Ping) -> Send:
        """Return the answer to a probe."""
        record = self.table.get(source)
        known = (
            record is not None
            and record.number == message.number
            and record.incarnation >= message.incarnation
        )
        first: list[Update] = []
        if message.target != self.number:
            first.append(self.own_record.announcement())
        if record is not None and record.status is not Status.ALIVE:
            first.append(verdict_of(record))
        ack = Ack(
            message.sequence,
            self.number,
            self.own_record.incarnation,
            known,
            self.generation,
            self.table.digest,
        )
        return Send(source, self.fill(ack, first))

    def push(self) -> list[Action]:
        """Send news and the configuration generation to random peers at once."""
        return [
            Send(r.address, self.push_message())
            for r in self.prober.random_members(PUSH_PEERS)
        ]

    def push_message(self, *updates: Update) -> Push:
        """Return a push with the given news."""
        return attach(Push(self.number, self.generation), list(updates))

    def fill(self, message: Ping | Ack, first: list[Update]) -> Ping | Ack:
        """Add the given news and as much queued news as fits.

        Only routine probes and answers carry queued news: their rate is constant,
        so the bytes a second stay bounded whatever happens to the fleet.
        """
        attach(message, first)
        if self.queue.queued:
            # The array header of the updates grows by two bytes past 15 entries.
            budget = MAX_PAYLOAD_BYTES - len(encode(message)) - 2
            message.updates = message.updates + self.queue.take(
                budget, self.table.present_count
            )
        return message

    def urgent(
        self, update: Update, now_ms: int, exclude: str = "", reserve: int = 0
    ) -> list[Action]:
        """Send one piece of news to random peers at once, within a rate limit.

        ``reserve`` is the part of the limit that is kept for more urgent news.
        """
        refill = (now_ms - self.urgent_refill_ms) / URGENT_INTERVAL_MS
        self.urgent_tokens = min(URGENT_BURST, self.urgent_tokens + refill)
        self.urgent_refill_ms = now_ms
        if self.urgent_tokens < 1 + reserve:
            return []
        self.urgent_tokens -= 1
        return [
            Send(r.address, self.push_message(update))
            for r in self.prober.random_members(PUSH_PEERS, exclude)
        ]

    def announce(self, member: Member, incarnation: int, now_ms: int) -> list[Action]:
        """Replace the own record and tell some peers at once."""
        self.own_record = Record(member, incarnation, Status.ALIVE, now_ms)
        self.table.store(self.own_record)
        announcement = self.own_record.announcement()
        self.queue.put(announcement)
        return self.urgent(announcement, now_ms)


def attach(message: Message, updates: list[Update]) -> Message:
    """Add news to a message, the first ones if not all fit."""
    raws = [msgspec.Raw(encode(update)) for update in updates]
    message.updates = raws
    while raws and len(encode(message)) > MAX_PAYLOAD_BYTES:
        raws.pop()
    return message


def verdict_of(record: Record) -> StatusUpdate:
    """Return the status of a record as a short message."""
    return StatusUpdate(
        record.address, record.number, record.incarnation, record.status
    )
