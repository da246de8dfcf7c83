"""News that waits to be spread by piggyback."""

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
"""With ln(n) + 4 transmissions to random members, about n * e^-(ln(n) + 4), or 2%
of one member, is expected to miss the news."""
MAX_QUEUED = 512


@dataclass
class QueuedUpdate:
    """One piece of news and how often it was sent."""

    key: str
    raw: msgspec.Raw
    size: int
    transmissions: int = 0


class UpdateQueue:
    """News by subject; newer news about a subject replaces older news."""

    def __init__(self) -> None:
        self.queued: dict[str, QueuedUpdate] = {}

    def put(self, update: Update) -> None:
        """Queue news; the oldest news is dropped when the queue is full."""
        key = subject_of(update)
        self.queued.pop(key, None)
        if len(self.queued) >= MAX_QUEUED:
            del self.queued[next(iter(self.queued))]
        data = encode(update)
        self.queued[key] = QueuedUpdate(key, msgspec.Raw(data), len(data))

    def discard_subject(self, subject: str) -> None:
        """Stop spreading news about an address."""
        self.queued.pop(subject, None)

    def take(self, budget: int, members: int) -> list[msgspec.Raw]:
        """Return the least-sent news that fits into the budget of bytes."""
        if not self.queued:
            return []
        limit = math.ceil(math.log(members + 1)) + EXTRA_TRANSMISSIONS
        taken: list[msgspec.Raw] = []
        for update in sorted(self.queued.values(), key=lambda u: u.transmissions):
            if update.size > budget:
                continue
            budget -= update.size
            taken.append(update.raw)
            update.transmissions += 1
            if update.transmissions >= limit:
                del self.queued[update.key]
            if len(taken) == MAX_UPDATES:
                break
        return taken


def subject_of(update: Update) -> str:
    """Return what the update is about."""
    if isinstance(update, MemberRecord):
        return update.member.instance.address
    if isinstance(update, StatusUpdate):
        return update.address
    assert isinstance(update, DataCentreUpdate)
    return f"data centre {update.data_centre}"
