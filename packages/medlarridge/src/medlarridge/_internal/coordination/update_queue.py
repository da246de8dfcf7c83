"""Queue of membership updates that are piggybacked on probes and acks."""

import math
from dataclasses import dataclass

import msgspec

from ..protocol.gossip import (
    MAX_UPDATES,
    DataCentreUpdate,
    MemberRecord,
    StatusUpdate,
    Update,
    encode,
)

EXTRA_TRANSMISSIONS = 4
"""With ln(n) + 4 transmissions to random members, the expected number of members that
miss an update is about n * e^-(ln(n) + 4), or 0.02."""
MAX_QUEUED = 512


@dataclass
class QueuedUpdate:
    """An encoded update and the number of times it was sent."""

    key: str
    raw: msgspec.Raw
    size: int
    transmissions: int = 0


class UpdateQueue:
    """Updates by subject; a newer update about a subject replaces the older one."""

    def __init__(self) -> None:
        self.queued: dict[str, QueuedUpdate] = {}

    def put(self, update: Update) -> None:
        """Queue an update; if the queue is full, drop the oldest one."""
        key = subject_of(update)
        self.queued.pop(key, None)
        if len(self.queued) >= MAX_QUEUED:
            del self.queued[next(iter(self.queued))]
        data = encode(update)
        self.queued[key] = QueuedUpdate(key, msgspec.Raw(data), len(data))

    def discard(self, subject: str) -> None:
        """Remove the update about an address."""
        self.queued.pop(subject, None)

    def take(self, budget_bytes: int, members: int) -> list[msgspec.Raw]:
        """Return the updates sent least often, up to a budget of bytes."""
        if not self.queued:
            return []
        max_transmissions = math.ceil(math.log(members + 1)) + EXTRA_TRANSMISSIONS
        taken: list[msgspec.Raw] = []
        for update in sorted(self.queued.values(), key=lambda u: u.transmissions):
            if update.size > budget_bytes:
                continue
            budget_bytes -= update.size
            taken.append(update.raw)
            update.transmissions += 1
            if update.transmissions >= max_transmissions:
                del self.queued[update.key]
            if len(taken) == MAX_UPDATES:
                break
        return taken


def subject_of(update: Update) -> str:
    """Return the key that identifies what the update is about."""
    if isinstance(update, MemberRecord):
        return update.member.instance.address
    if isinstance(update, StatusUpdate):
        return update.address
    assert isinstance(update, DataCentreUpdate)
    return f"data centre {update.data_centre}"
