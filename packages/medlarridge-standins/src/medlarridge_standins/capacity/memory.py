"""Memory per entry of the state that grows with the load."""

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
from .decisions import CHUNK, attempt
from .fairness import SEED, Directory, Random

ENTRIES = 4000
MEMBERS = 460
ROUTES = 1000


def bytes_per_entry(build: Callable[[], object], entries: int) -> float:
    """Return the memory that a structure holds, divided by its entries."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    if kept is None:
        raise AssertionError("nothing was built")
    return used / entries


def prefix_index() -> PrefixIndex:
    """Return an index of many chats."""
    index = PrefixIndex()
    for number in range(ENTRIES):
        index.record(f"chat-{number:032x}", 3000 + number, number)
    return index


def attempt_register() -> AttemptRegister:
    """Return a register of many ended attempts without their answers."""
    register = AttemptRegister(ManualClock())
    for number in range(ENTRIES):
        register.open(attempt(number))
    return register


def accounts_at_home() -> AccountHome:
    """Return what a home knows of many accounts."""
    home = AccountHome(ManualClock(), 1, Directory())
    for number in range(ENTRIES):
        home.add(Usage("route", f"account-{number:05}", 1, 1.0))
    return home


def accounts_at_router() -> AccountLimiter:
    """Return what a router knows of the accounts that it has seen."""
    limiter = AccountLimiter(ManualClock(), Random(SEED), "own", 1, Directory())
    for number in range(ENTRIES):
        limiter.admit("route", f"account-{number:05}")
    return limiter


def routes() -> Configuration:
    """Return a configuration of many routes."""
    tables = Tables.model_validate(
        {
            "pools": {"pool": {"kind": "engine", "data_centres": ["dc"]}},
            "routes": {f"route-{n}": {"pools": ["pool"]} for n in range(ROUTES)},
        }
    )
    return Configuration().successor(tables, 1, 1)


def chunks() -> list[Chunk]:
    """Return chunks as the resume buffer keeps them."""
    return [Chunk(number, bytes(bytearray(CHUNK))) for number in range(ENTRIES)]


@capacity.scenario("memory")
def memory() -> list[Row]:
    """Measure the memory per entry of each kind of state."""
    members = [make_member(number) for number in range(MEMBERS)]
    structures = [
        ("chat in the prefix index", prefix_index, ENTRIES),
        ("attempt record without its answer", attempt_register, ENTRIES),
        ("chunk kept for resuming", chunks, ENTRIES),
        ("account at its home router", accounts_at_home, ENTRIES),
        ("account at a router that sees it", accounts_at_router, ENTRIES),
        ("route of the configuration", routes, ROUTES),
        ("member in the placement of its pool", lambda: Placement(members), MEMBERS),
    ]
    return [
        Row(f"memory per {name}", bytes_per_entry(build, entries), "bytes")
        for name, build, entries in structures
    ]
