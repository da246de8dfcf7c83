"""Outstanding probes and the choice of probe targets."""

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from .member_table import MemberTable, Record

DIRECT_TIMEOUT_MS = 500
TOTAL_TIMEOUT_MS = 1500
MAX_OUTSTANDING = 256
RECOVERY_PROBE_INTERVAL = 4
"""One in this many probes goes to an address that is considered unreachable."""
MAX_PRIORITY_TARGETS = 16
MAX_RANDOM_PICKS = 16


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
    """A probe that has not been answered yet."""

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
    """Outstanding probes and the order in which members are probed."""

    table: MemberTable
    random: Random
    own_address: str
    outstanding: dict[int, Probe] = field(default_factory=dict)
    order: list[str] = field(default_factory=list)
    position: int = 0
    sequence: int = 0
    probe_count: int = 0
    priority_targets: dict[str, None] = field(default_factory=dict)
    broken_links: dict[str, None] = field(default_factory=dict)
    dead_addresses: dict[str, None] = field(default_factory=dict)
    uncontacted_addresses: dict[str, None] = field(default_factory=dict)

    def start_probe(self, target: Record | str, purpose: Purpose, now_ms: int) -> Probe:
        """Register a probe of a known member, or of an address without a record."""
        self.sequence = (self.sequence + 1) % 2**32
        if isinstance(target, Record):
            address, number = target.address, target.number
            data_centre = target.data_centre
        else:
            address, number, data_centre = target, 0, ""
        probe = Probe(self.sequence, address, number, purpose, now_ms, data_centre)
        if len(self.outstanding) >= MAX_OUTSTANDING:
            del self.outstanding[next(iter(self.outstanding))]
        self.outstanding[probe.sequence] = probe
        return probe

    def take_expired(self, now_ms: int) -> tuple[list[Probe], list[Probe]]:
        """Return the probes to repeat through peers and those that have failed."""
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

    def add_member(self, address: str) -> None:
        """Insert a new member at a random position of the probing order."""
        index = self.random.randint(0, len(self.order))
        if index == len(self.order):
            self.order.append(address)
            return
        self.order.append(self.order[index])
        self.order[index] = address

    def prioritise(self, address: str) -> None:
        """Probe an address as soon as possible."""
        if len(self.priority_targets) < MAX_PRIORITY_TARGETS:
            self.priority_targets[address] = None

    def next_target(self) -> tuple[Record | str, Purpose] | None:
        """Return the target and the purpose of the next probe."""
        self.probe_count += 1
        if self.probe_count % RECOVERY_PROBE_INTERVAL == 0:
            target = self.recovery_target()
            if target is not None:
                return target, Purpose.RECOVERY
        while self.priority_targets:
            record = self.table.get(self.priority_targets.popitem()[0])
            if record is not None and self.is_routine_target(record):
                return record, Purpose.ROUTINE
        record = self.routine_target()
        return None if record is None else (record, Purpose.ROUTINE)

    def routine_target(self) -> Record | None:
        """Return the next running member in the shuffled probing order."""
        for _ in range(len(self.order) + 1):
            if self.position >= len(self.order):
                self.order = [r.address for r in self.table.present_records()]
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
        """Return whether the member is probed routinely."""
        return (
            record.present
            and record.address != self.own_address
            and record.data_centre not in self.table.down_data_centres
        )

    def recovery_target(self) -> Record | str | None:
        """Return a random unreachable member or address that may have returned."""
        groups = [
            list(group)
            for group in (
                self.broken_links,
                self.dead_addresses,
                self.uncontacted_addresses,
            )
            if group
        ]
        if self.table.down_data_centres:
            name = self.random.choice(sorted(self.table.down_data_centres))
            groups.append(list(self.table.data_centres.get(name, {})))
        groups = [group for group in groups if group]
        if not groups:
            return None
        address = self.random.choice(self.random.choice(groups))
        return self.table.get(address) or address

    def random_members(self, count: int, exclude: str = "") -> list[Record]:
        """Return up to ``count`` random running members that are directly reachable."""
        chosen: dict[str, Record] = {}
        for _ in range(MAX_RANDOM_PICKS if self.order else 0):
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
