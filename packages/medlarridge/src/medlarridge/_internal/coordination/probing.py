"""Outstanding probes and the choice of the next one."""

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from .member_table import MemberTable, Record

DIRECT_TIMEOUT_MS = 500
TOTAL_TIMEOUT_MS = 1500
MAX_OUTSTANDING = 256
RECOVERY_EVERY = 4
"""One probe in this many goes to a member that is thought to be unreachable."""
MAX_PRIORITY_TARGETS = 16
MAX_PICKS = 16


class Purpose(StrEnum):
    """Why a probe was sent."""

    ROUTINE = "routine"
    RECOVERY = "recovery"
    VERIFY = "verify"
    CONTROL = "control"
    CONTACT = "contact"
    RELAY = "relay"


@dataclass
class Probe:
    """A probe without an answer yet."""

    sequence: int
    address: str
    number: int
    purpose: Purpose
    sent_ms: int
    data_centre: str = ""
    indirect: bool = False
    relay_to: str = ""
    relay_sequence: int = 0


@dataclass
class Prober:
    """Probes on their way and the order in which members are probed."""

    table: MemberTable
    random: Random
    own_address: str
    outstanding: dict[int, Probe] = field(default_factory=dict)
    order: list[str] = field(default_factory=list)
    position: int = 0
    sequence: int = 0
    round: int = 0
    priority: dict[str, None] = field(default_factory=dict)
    broken_links: dict[str, None] = field(default_factory=dict)
    dead: dict[str, None] = field(default_factory=dict)
    uncontacted: dict[str, None] = field(default_factory=dict)

    def start(self, probe_target: Record | str, purpose: Purpose, now_ms: int) -> Probe:
        """Register a probe to a known member or to a bare address."""
        self.sequence = (self.sequence + 1) % 2**32
        if isinstance(probe_target, Record):
            address, number = probe_target.address, probe_target.number
            data_centre = probe_target.data_centre
        else:
            address, number, data_centre = probe_target, 0, ""
        probe = Probe(self.sequence, address, number, purpose, now_ms, data_centre)
        if len(self.outstanding) >= MAX_OUTSTANDING:
            del self.outstanding[next(iter(self.outstanding))]
        self.outstanding[probe.sequence] = probe
        return probe

    def expired(self, now_ms: int) -> tuple[list[Probe], list[Probe]]:
        """Return probes that now need indirect probes, and those that failed."""
        to_relay, failed = [], []
        for probe in list(self.outstanding.values()):
            age_ms = now_ms - probe.sent_ms
            if age_ms >= TOTAL_TIMEOUT_MS:
                del self.outstanding[probe.sequence]
                failed.append(probe)
            elif age_ms >= DIRECT_TIMEOUT_MS and not probe.indirect:
                probe.indirect = True
                to_relay.append(probe)
        return to_relay, failed

    def add(self, address: str) -> None:
        """Add a new member at a random place of the probing order."""
        index = self.random.randint(0, len(self.order))
        if index == len(self.order):
            self.order.append(address)
            return
        self.order.append(self.order[index])
        self.order[index] = address

    def prioritise(self, address: str) -> None:
        """Probe an address in one of the next rounds."""
        if len(self.priority) < MAX_PRIORITY_TARGETS:
            self.priority[address] = None

    def next_target(self) -> tuple[Record | str, Purpose] | None:
        """Return the target of the next probe."""
        self.round += 1
        if self.round % RECOVERY_EVERY == 0:
            target = self.recovery_target()
            if target is not None:
                return target, Purpose.RECOVERY
        while self.priority:
            record = self.table.get(self.priority.popitem()[0])
            if record is not None and self.is_routine_target(record):
                return record, Purpose.ROUTINE
        record = self.routine_target()
        return None if record is None else (record, Purpose.ROUTINE)

    def routine_target(self) -> Record | None:
        """Return the next running member of a shuffled round."""
        for _ in range(len(self.order) + 1):
            if self.position >= len(self.order):
                self.order = [r.address for r in self.table.present()]
                self.random.shuffle(self.order)
                self.position = 0
                if not self.order:
                    return None
            record = self.table.get(self.order[self.position])
            self.position += 1
            if record is not None and self.is_routine_target(record):
                return record
        return None

    def is_routine_target(self, record: Record) -> bool:
        """Return whether the member takes part in ordinary probing."""
        return (
            record.present
            and record.address != self.own_address
            and record.data_centre not in self.table.down_data_centres
        )

    def recovery_target(self) -> Record | str | None:
        """Return something unreachable that may have come back."""
        kinds = [
            list(kind)
            for kind in (self.broken_links, self.dead, self.uncontacted)
            if kind
        ]
        if self.table.down_data_centres:
            name = self.random.choice(sorted(self.table.down_data_centres))
            kinds.append(list(self.table.data_centres.get(name, {})))
        kinds = [kind for kind in kinds if kind]
        if not kinds:
            return None
        address = self.random.choice(self.random.choice(kinds))
        return self.table.get(address) or address

    def random_members(self, count: int, exclude: str = "") -> list[Record]:
        """Return up to ``count`` different running members outside lost places."""
        chosen: dict[str, Record] = {}
        for _ in range(MAX_PICKS if self.order else 0):
            if len(chosen) == count:
                break
            address = self.random.choice(self.order)
            record = self.table.get(address)
            if (
                record is not None
                and address != exclude
                and not record.link_failed
                and self.is_routine_target(record)
            ):
                chosen[address] = record
        return list(chosen.values())
