"""Seeded plans: which faults come when."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .proxy import Harm

FIRST_S = 1.0
"""Start of the first fault, when the clients have begun."""
MOST_FAULTS = 14
FEWEST_FAULTS = 5

Make = Callable[[Random], dict]
KINDS: dict[str, Make] = {}
"""Makers of the details of a fault, by its kind."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong, or planned work, at ``at_s`` for ``for_s``."""

    at_s: float
    for_s: float
    kind: str
    target: int
    details: dict


def kind(name: str) -> Callable[[Make], Make]:
    """Register the maker of a kind of fault."""

    def add(make: Make) -> Make:
        KINDS[name] = make
        return make

    return add


def bare(random: Random) -> dict:
    """Make a fault without details."""
    return {}


for plain in (
    "router-kill",
    "router-stop",
    "router-stop-then-kill",
    "router-pause",
    "router-hang-up",
    "router-hang-up-at-start",
    "all-routers-kill",
    "engine-kill",
    "engine-drain",
    "engine-pause",
    "key-revoked",
    "many-routes",
    "route-moved",
):
    kind(plain)(bare)


@kind("engine-faulty")
def make_faulty(random: Random) -> dict:
    """Choose how a server's answers go wrong, and how many of them."""
    how = random.choice(["lost", "error", "junk", "cut", "extra"])
    return {how: random.choice([0.05, 0.2, 0.6])}


@kind("engine-link")
@kind("client-link")
@kind("store-link")
def make_harm(random: Random) -> dict:
    """Choose the harm to a link."""
    harm = random.choice([each for each in Harm if each is not Harm.NONE])
    return {"harm": harm.value}


@kind("store-faulty")
def make_store_fault(random: Random) -> dict:
    """Choose what the store does to routers."""
    return {"fault": random.choice(["busy", "down", "reset", "lost", "slow"])}


@kind("store-forgets")
def make_forget(random: Random) -> dict:
    """Let the store drop its history or the entries of servers."""
    return random.choice([{"forget": True}, {"lapse": True}])


def make_plan(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run; they come alone, in series and overlapping."""
    random = Random(seed)
    names = sorted(KINDS)
    faults = []
    for _ in range(random.randint(FEWEST_FAULTS, MOST_FAULTS)):
        name = random.choice(names)
        at_s = random.uniform(FIRST_S, length_s - 1)
        # Faults that strike together come from equal starts.
        if faults and random.random() < 0.3:
            at_s = faults[-1].at_s + random.choice([0.0, 0.1, 0.5])
        for_s = random.uniform(0.3, min(3.0, length_s - at_s))
        faults.append(
            Fault(
                round(at_s, 2),
                round(for_s, 2),
                name,
                random.randrange(1_000),
                KINDS[name](random),
            )
        )
    return sorted(faults, key=lambda fault: fault.at_s)
