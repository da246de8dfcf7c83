"""Accept a table edit, reject an invalid one, and never apply an older generation."""

import json
from random import Random

import anyio

from medlarridge import ManualClock
from medlarridge.coordination import ConfigurationHolder
from medlarridge.state import Acceptor, MemoryStore

ROUTES, POOLS = "tables/routes", "tables/pools"
ACCEPTED, STATUS = "config/accepted", "status/tables"

store = MemoryStore()
holder = ConfigurationHolder(ManualClock(), Random(7))


async def value_of(key: str) -> bytes:
    """Return the value of an object."""
    return (await store.get(key)).unwrap().value


async def edit(key: str, table: dict) -> None:
    """Write a table if it has not changed since it was read."""
    found = (await store.get(key)).unwrap()
    version = found.version if found else 0
    (await store.put(key, json.dumps(table).encode(), version)).unwrap()


async def accept(what: str) -> None:
    """Run acceptance once and print the configuration in use."""
    (await Acceptor(store).run()).unwrap()
    status = json.loads(await value_of(STATUS))
    holder.store_replied(await value_of(ACCEPTED))
    print(f"{what}: {'accepted' if status['accepted'] else 'rejected'}")
    if status["reason"]:
        print(f"  {status['reason'].partition('Value error, ')[2]}")
    print(f"  generation {holder.generation}, routes {sorted(holder.tables.routes)}")


async def main() -> None:
    """Make three edits, the second of which is invalid."""
    pool = {"kind": "engine", "data_centres": ["manzanillo-a"]}
    route = {"pools": ["asistente-frio"]}
    await edit(POOLS, {"asistente-frio": pool})
    await edit(ROUTES, {"plug-plan": route})
    await accept("first edit")
    old = await value_of(ACCEPTED)
    await edit(ROUTES, {"plug-plan": {"pools": ["asistente-tibio"]}})
    await accept("wrong edit")
    await edit(ROUTES, {"plug-plan": route, "alarms": route})
    await accept("third edit")
    holder.store_replied(old)
    print("after an old value is read again: generation", holder.generation)


anyio.run(main)
