"""Memory per entry of the data structures that grow with the load."""

import tracemalloc
from collections.abc import Callable

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.coordination.accepted_configuration import Configuration
from medlarridge._internal.coordination.account_limits import (
    AccountHome,
    AccountLimiter,
)
from medlarridge._internal.coordination.attempts import AttemptRegister
from medlarridge._internal.coordination.placement import Placement
from medlarridge._internal.coordination.prefix_index import PrefixIndex
from medlarridge._internal.protocol.limits import Usage
from medlarridge._internal.protocol.messages import Chunk
from medlarridge._internal.protocol.tables import Tables

from ..planner_cluster import make_member
from ..report import Row
from . import capacity
from .decisions import CHUNK, make_attempt
from .fairness import SEED, FixedLimitDirectory, Random

ENTRY_COUNT = 4000
MEMBER_COUNT = 460
ROUTE_COUNT = 1000


def bytes_per_entry(build: Callable[[], object], entries: int) -> float:
    """Return the memory allocated for a structure, divided by its entries."""
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    structure = build()
    used_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    if structure is None:
        raise AssertionError(
            "the builder returned None, so there is nothing to measure"
        )
    return used_bytes / entries


def prefix_index() -> PrefixIndex:
    """Return a prefix index with many chats."""
    index = PrefixIndex()
    for number in range(ENTRY_COUNT):
        index.record(f"chat-{number:032x}", 3000 + number, number)
    return index


def attempt_register() -> AttemptRegister:
    """Return a register of many attempts that hold no response data."""
    register = AttemptRegister(ManualClock())
    for number in range(ENTRY_COUNT):
        register.open(make_attempt(number))
    return register


def home_accounts() -> AccountHome:
    """Return the state that a home router keeps for many accounts."""
    home = AccountHome(ManualClock(), 1, FixedLimitDirectory())
    for number in range(ENTRY_COUNT):
        home.add(Usage("route", f"account-{number:05}", 1, 1.0))
    return home


def router_accounts() -> AccountLimiter:
    """Return the state that a router keeps for many accounts that call it."""
    limiter = AccountLimiter(
        ManualClock(), Random(SEED), "own", 1, FixedLimitDirectory()
    )
    for number in range(ENTRY_COUNT):
        limiter.admit("route", f"account-{number:05}")
    return limiter


def routes() -> Configuration:
    """Return a configuration with many routes."""
    tables = Tables.model_validate(
        {
            "pools": {"pool": {"kind": "engine", "data_centres": ["dc"]}},
            "routes": {f"route-{n}": {"pools": ["pool"]} for n in range(ROUTE_COUNT)},
        }
    )
    return Configuration().successor(tables, 1, 1)


def chunks() -> list[Chunk]:
    """Return chunks in the form in which the resume buffer keeps them."""
    return [Chunk(number, bytes(bytearray(CHUNK))) for number in range(ENTRY_COUNT)]


@capacity.scenario("memory")
def memory() -> list[Row]:
    """Measure the memory per entry of each data structure."""
    members = [make_member(number) for number in range(MEMBER_COUNT)]
    structures = [
        ("chat in the prefix index", prefix_index, ENTRY_COUNT),
        ("attempt record without its answer", attempt_register, ENTRY_COUNT),
        ("chunk kept for resuming", chunks, ENTRY_COUNT),
        ("account at its home router", home_accounts, ENTRY_COUNT),
        ("account at a router that sees it", router_accounts, ENTRY_COUNT),
        ("route of the configuration", routes, ROUTE_COUNT),
        (
            "member in the placement of its pool",
            lambda: Placement(members),
            MEMBER_COUNT,
        ),
    ]
    return [
        Row(f"memory per {name}", bytes_per_entry(build, entries), "bytes")
        for name, build, entries in structures
    ]
