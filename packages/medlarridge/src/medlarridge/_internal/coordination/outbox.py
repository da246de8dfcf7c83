"""Outgoing membership messages: probes, acks, queued and urgent updates."""

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
"""Size of the kind byte and the keyed digest."""
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES
PUSH_PEERS = 3
URGENT_BURST = 4
URGENT_INTERVAL_MS = 1000

Message = TypeVar("Message", Ping, Ack, Push)


class Outbox:
    """Builds the messages of one process from its record and its queued updates.

    ``generation`` is the generation of the configuration, which every message carries.
    """

    def __init__(self, table: MemberTable, prober: Prober, own_record: Record) -> None:
        self.table = table
        self.prober = prober
        self.own_record = own_record
        self.number = own_record.number
        self.generation = 0
        self.update_queue = UpdateQueue()
        self.urgent_tokens = float(URGENT_BURST)
        self.urgent_refill_ms = own_record.status_ms

    def ping(self, probe: Probe) -> Send:
        """Return the datagram of a probe."""
        required: list[Update] = []
        record = self.table.get(probe.address)
        if record is None:
            required.append(self.own_record.announcement())
        elif record.status is not Status.ALIVE:
            required.append(status_update_of(record))
        message = Ping(
            probe.sequence,
            self.number,
            self.own_record.incarnation,
            probe.number,
            self.generation,
            self.table.digest,
        )
        if probe.purpose is Purpose.ROUTINE:
            return Send(probe.address, self.add_updates(message, required))
        return Send(probe.address, set_updates(message, required))

    def ack(self, source: str, message: Ping) -> Send:
        """Return the ack to a probe."""
        record = self.table.get(source)
        sender_known = (
            record is not None
            and record.number == message.number
            and record.incarnation >= message.incarnation
        )
        required: list[Update] = []
        if message.target != self.number:
            required.append(self.own_record.announcement())
        if record is not None and record.status is not Status.ALIVE:
            required.append(status_update_of(record))
        ack = Ack(
            message.sequence,
            self.number,
            self.own_record.incarnation,
            sender_known,
            self.generation,
            self.table.digest,
        )
        return Send(source, self.add_updates(ack, required))

    def push(self, *updates: Update) -> list[Action]:
        """Push the configuration generation and updates to random peers at once."""
        return [
            Send(r.address, self.push_message(*updates))
            for r in self.prober.random_members(PUSH_PEERS)
        ]

    def push_message(self, *updates: Update) -> Push:
        """Return a push message with the given updates."""
        return set_updates(Push(self.number, self.generation), list(updates))

    def add_updates(self, message: Ping | Ack, required: list[Update]) -> Ping | Ack:
        """Add the given updates and as many queued ones as fit.

        Only routine probes and acks carry queued updates. Their rate is constant, so
        the traffic stays bounded even if many members change at once.
        """
        set_updates(message, required)
        if self.update_queue.queued:
            # The array header of the updates grows by two bytes beyond 15 entries.
            budget_bytes = MAX_PAYLOAD_BYTES - len(encode(message)) - 2
            message.updates = message.updates + self.update_queue.take(
                budget_bytes, self.table.present_count
            )
        return message

    def push_urgent(
        self, update: Update, now_ms: int, exclude: str = "", reserve: int = 0
    ) -> list[Action]:
        """Push an update to random peers at once, subject to a rate limit.

        ``reserve`` is the number of pushes kept available for more urgent updates.
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
        """Replace the own record and push it to some peers."""
        self.own_record = Record(member, incarnation, Status.ALIVE, now_ms)
        self.table.store(self.own_record)
        announcement = self.own_record.announcement()
        self.update_queue.put(announcement)
        return self.push_urgent(announcement, now_ms)


def set_updates(message: Message, updates: list[Update]) -> Message:
    """Set the updates of a message; drop the last ones if not all of them fit."""
    raws = [msgspec.Raw(encode(update)) for update in updates]
    message.updates = raws
    while raws and len(encode(message)) > MAX_PAYLOAD_BYTES:
        raws.pop()
    return message


def status_update_of(record: Record) -> StatusUpdate:
    """Return the status of a record as a short message."""
    return StatusUpdate(
        record.address, record.number, record.incarnation, record.status
    )
