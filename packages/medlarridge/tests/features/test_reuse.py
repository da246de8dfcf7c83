from dataclasses import dataclass, field

import pytest
from msgspec.structs import replace
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.coordination.reuse_planner import Run
from medlarridge_standins.measure.pool_model import PoolModel, PoolModelSettings
from medlarridge_standins.planner_cluster import PlannerCluster

scenarios("reuse.feature")

FIRST_PROMPT = 3000
RETURN_PROMPT = 3300
# The first prompt and its answer.
CACHED = 3100
WARM_UP_S = 20
SURGE_S = 15


@dataclass
class World:
    cluster: PlannerCluster = None
    model: PoolModel = None
    gone: str = ""
    chats: list[str] = field(default_factory=list)
    served: dict[str, list] = field(default_factory=dict)
    result: tuple = ()


@pytest.fixture
def world():
    return World()


def return_all(world):
    """Let the chats of the lost engine return and note where they were served."""
    for chat in world.chats:
        visits = world.served.setdefault(chat, [])
        visits.append(world.cluster.serve(chat, RETURN_PROMPT + 200 * len(visits)))


def without(world):
    return [m for m in world.cluster.members if m.instance.address != world.gone]


@given(parsers.parse("a pool of {size:d} engines that has served {count:d} chats"))
def served_pool(world, size, count):
    serve_chats(world, PlannerCluster(size), count)


@given(
    parsers.parse(
        "a pool of {size:d} engines that cannot drop a prefix"
        " and has served {count:d} chats"
    )
)
def keeping_pool(world, size, count):
    serve_chats(world, PlannerCluster(size, engine_can_release=False), count)


def serve_chats(world, cluster, count):
    world.cluster = cluster
    cluster.advance(2000)
    homes = {
        f"chat-{n}": cluster.serve(f"chat-{n}", FIRST_PROMPT) for n in range(count)
    }
    world.gone = homes["chat-0"][0]
    world.chats = [c for c, (home, _, _) in homes.items() if home == world.gone]
    assert len(world.chats) > 1


@when("an engine leaves and hands over its prefixes")
def leave(world):
    cluster = world.cluster
    cluster.send(world.gone, cluster.planners[world.gone].hand_over())
    cluster.deliver_all()
    cluster.fetch()
    cluster.update(without(world))
    del cluster.planners[world.gone], cluster.caches[world.gone]
    return_all(world)


@then("every chat of the engine finds its prefix at its new home")
def found(world):
    for [(home, found, _)] in world.served.values():
        assert home != world.gone
        assert found == CACHED


@when("an engine leaves without handing over its prefixes")
def leave_at_once(world):
    cluster = world.cluster
    draining = [
        replace(m, draining=m.instance.address == world.gone) for m in cluster.members
    ]
    cluster.update(draining)
    return_all(world)


@then("every chat of the engine imports its prefix from the leaving engine")
def imported(world):
    for [(home, found, imported)] in world.served.values():
        assert home != world.gone
        assert (found, imported) == (0, CACHED)


@when(
    parsers.parse("an engine fails and restarts {count:d} times within the hold-down")
)
def flap(world, count):
    cluster = world.cluster
    member = next(m for m in cluster.members if m.instance.address == world.gone)
    for _ in range(count):
        cluster.update(without(world))
        return_all(world)
        cluster.advance(3000)
        cluster.start(member)
        cluster.update(cluster.members, {world.gone})
        return_all(world)
        cluster.advance(3000)


@then("each of its chats is prefilled once and stays where it is")
def stays(world):
    for visits in world.served.values():
        assert len({home for home, _, _ in visits}) == 1
        assert [found > 0 for _, found, _ in visits] == [False] + [True] * 7
        assert all(imported == 0 for _, _, imported in visits)


@then("after the hold-down each of its chats moves back once by import")
def moves_back(world):
    world.cluster.update(world.cluster.members)
    before = {chat: len(visits) for chat, visits in world.served.items()}
    return_all(world)
    return_all(world)
    for chat, visits in world.served.items():
        first, second = visits[before[chat] :]
        assert first[0] == second[0] == world.gone
        assert first[1] == 0
        assert first[2] > CACHED
        assert second[1] > first[2]


@when("a chat is moved once while its home is over the bound")
def move_once(world):
    cluster = world.cluster
    request = cluster.request("chat-0", RETURN_PROMPT)
    cluster.add_load(world.gone, 5000)
    cluster.advance(1000)
    refusal = cluster.decide(world.gone, request)
    target = refusal.candidates[0].address
    cluster.complete(target, request, cluster.decide(target, request))
    filler = next(iter(cluster.planners[world.gone].running))
    cluster.planners[world.gone].abandon(filler)
    cluster.advance(1000)
    world.result = (target,)


@then(
    parsers.parse(
        "the chat returns {count:d} times to where it was moved and adds no copy"
    )
)
def returns_to_target(world, count):
    for turn in range(count):
        prompt = RETURN_PROMPT + 300 * (turn + 1)
        target, found, imported = world.cluster.serve("chat-0", prompt)
        assert target == world.result[0]
        assert (found, imported) == (prompt - 200, 0)
    holders = [a for a, cache in world.cluster.caches.items() if "chat-0" in cache]
    assert sorted(holders) == sorted([world.gone, target])


@given("a chat whose home believes that another engine holds its prefix")
def wrong_hint(world):
    cluster = world.cluster
    other = next(a for a in cluster.planners if a != world.gone)
    planner = cluster.planners[world.gone]
    cluster.caches[world.gone].clear()
    planner.index.entries.clear()
    planner.index.record_other_holder("chat-0", other, CACHED)
    world.result = (other,)


@when("the chat returns and the import finds nothing")
def import_nothing(world):
    cluster = world.cluster
    request = cluster.request("chat-0", RETURN_PROMPT)
    run = cluster.decide(world.gone, request)
    assert isinstance(run, Run)
    assert run.import_from == world.result[0]
    world.result = cluster.complete(world.gone, request, run)


@then("the chat is prefilled and the hint is gone")
def hint_gone(world):
    assert world.result == (0, 0)
    assert world.cluster.planners[world.gone].index.get("chat-0").other_holder == ""
    assert world.cluster.serve("chat-0", 3600) == (world.gone, 3400, 0)


@given(parsers.parse("a pool of {size:d} engines under load"))
def loaded_pool(world, size):
    settings = PoolModelSettings(
        seed=3,
        engines=size,
        chats_per_engine=20,
        duration_s=WARM_UP_S + 2 * SURGE_S,
        warm_up_s=WARM_UP_S,
    )
    world.model = PoolModel(settings)


@when("an account doubles the load with chats of one home")
def surge(world):
    model = world.model
    start_ms, end_ms = WARM_UP_S * MS_PER_S, (WARM_UP_S + SURGE_S) * MS_PER_S
    model.schedule(start_ms, model.surge, 2.0, end_ms, next(iter(model.engines)))
    model.run()


@when("one of three data centres is lost")
def lose_data_centre(world):
    world.model.schedule(WARM_UP_S * MS_PER_S, world.model.lose_data_centre, "dc-0")
    world.model.run()


@then("no admission exceeds the load bound")
def bound_holds(world):
    assert world.model.counts.admissions > 0
    assert world.model.counts.violations == 0


@then("the surge is served by other engines")
def surge_served(world):
    counts = world.model.counts
    # Without the surge the model offers 1.6 requests/s an engine.
    assert counts.requests > 1.2 * 1.6 * 10 * 2 * SURGE_S
    assert counts.given_up < 0.1 * counts.requests


@then("every chat has a live home and the pool serves as before")
def serves_as_before(world):
    model, counts = world.model, world.model.counts
    for chat in model.idle_chats:
        assert model.engines[model.home_of(chat)].alive
    assert counts.requests > 0.9 * 1.6 * 12 * 2 * SURGE_S
    assert counts.given_up < 0.1 * counts.requests
