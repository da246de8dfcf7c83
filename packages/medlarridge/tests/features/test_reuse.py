from dataclasses import dataclass, field

import pytest
from msgspec.structs import replace
from pytest_bdd import given, parsers, scenarios, then, when

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.coordination.reuse_planner import Run
from medlarridge_standins.measure.pool_model import PoolModel, PoolModelSettings
from medlarridge_standins.planner_cluster import PlannerCluster

scenarios("reuse.feature")

FIRST_PROMPT_TOKENS = 3000
RETURN_PROMPT_TOKENS = 3300
# Tokens cached after the first request: its prompt and its answer.
CACHED_TOKENS = 3100
WARM_UP_S = 20
SURGE_S = 15


@dataclass
class World:
    """Pool under test, an engine of it and the chats whose home that engine is.

    A visit in ``visits_by_chat`` is the engine that served the chat, and the tokens of
    the prefix that it found in its cache and that it imported.
    """

    cluster: PlannerCluster = None
    model: PoolModel = None
    home: str = ""
    chats: list[str] = field(default_factory=list)
    visits_by_chat: dict[str, list] = field(default_factory=dict)
    result: tuple = ()


@pytest.fixture
def world():
    return World()


def return_chats(world):
    """Send the next request of each chat and record where it was served."""
    for chat in world.chats:
        visits = world.visits_by_chat.setdefault(chat, [])
        visits.append(
            world.cluster.serve(chat, RETURN_PROMPT_TOKENS + 200 * len(visits))
        )


def members_without_home(world):
    return [
        member
        for member in world.cluster.members
        if member.instance.address != world.home
    ]


@given(parsers.parse("a pool of {size:d} engines that has served {count:d} chats"))
def served_pool(world, size, count):
    serve_chats(world, PlannerCluster(size), count)


@given(
    parsers.parse(
        "a pool of {size:d} engines that cannot drop a prefix"
        " and has served {count:d} chats"
    )
)
def served_pool_without_release(world, size, count):
    serve_chats(world, PlannerCluster(size, engine_can_release=False), count)


def serve_chats(world, cluster, count):
    world.cluster = cluster
    cluster.advance(2000)
    homes = {
        f"chat-{number}": cluster.serve(f"chat-{number}", FIRST_PROMPT_TOKENS)
        for number in range(count)
    }
    world.home = homes["chat-0"][0]
    world.chats = [chat for chat, (home, _, _) in homes.items() if home == world.home]
    assert len(world.chats) > 1


@when("an engine leaves and hands over its prefixes")
def leave_with_hand_over(world):
    cluster = world.cluster
    cluster.send(world.home, cluster.planners[world.home].hand_over())
    cluster.deliver_all()
    cluster.fetch()
    cluster.update(members_without_home(world))
    del cluster.planners[world.home], cluster.caches[world.home]
    return_chats(world)


@then("every chat of the engine finds its prefix at its new home")
def prefixes_found(world):
    for [(home, found_tokens, _)] in world.visits_by_chat.values():
        assert home != world.home
        assert found_tokens == CACHED_TOKENS


@when("an engine leaves without handing over its prefixes")
def leave_without_hand_over(world):
    cluster = world.cluster
    draining = [
        replace(member, draining=member.instance.address == world.home)
        for member in cluster.members
    ]
    cluster.update(draining)
    return_chats(world)


@then("every chat of the engine imports its prefix from the leaving engine")
def prefixes_imported(world):
    for [(home, found_tokens, imported_tokens)] in world.visits_by_chat.values():
        assert home != world.home
        assert (found_tokens, imported_tokens) == (0, CACHED_TOKENS)


@when(
    parsers.parse("an engine fails and restarts {count:d} times within the hold-down")
)
def flap_engine(world, count):
    cluster = world.cluster
    member = next(
        candidate
        for candidate in cluster.members
        if candidate.instance.address == world.home
    )
    for _ in range(count):
        cluster.update(members_without_home(world))
        return_chats(world)
        cluster.advance(3000)
        cluster.start(member)
        cluster.update(cluster.members, {world.home})
        return_chats(world)
        cluster.advance(3000)


@then("each of its chats is prefilled once and stays where it is")
def chats_stay(world):
    for visits in world.visits_by_chat.values():
        assert len({home for home, _, _ in visits}) == 1
        assert [found > 0 for _, found, _ in visits] == [False] + [True] * 7
        assert all(imported == 0 for _, _, imported in visits)


@then("after the hold-down each of its chats moves back once by import")
def chats_move_back(world):
    world.cluster.update(world.cluster.members)
    visit_count_before = {
        chat: len(visits) for chat, visits in world.visits_by_chat.items()
    }
    return_chats(world)
    return_chats(world)
    for chat, visits in world.visits_by_chat.items():
        first, second = visits[visit_count_before[chat] :]
        assert first[0] == second[0] == world.home
        assert first[1] == 0
        assert first[2] > CACHED_TOKENS
        assert second[1] > first[2]


@when("a chat is moved once while its home is over the bound")
def move_once(world):
    cluster = world.cluster
    request = cluster.request("chat-0", RETURN_PROMPT_TOKENS)
    cluster.add_load(world.home, 5000)
    cluster.advance(1000)
    refusal = cluster.decide(world.home, request)
    target = refusal.candidates[0].address
    cluster.complete(target, request, cluster.decide(target, request))
    filler = next(iter(cluster.planners[world.home].running))
    cluster.planners[world.home].abandon(filler)
    cluster.advance(1000)
    world.result = (target,)


@then(
    parsers.parse(
        "the chat returns {count:d} times to where it was moved and adds no copy"
    )
)
def chat_stays_at_target(world, count):
    for turn in range(count):
        prompt_tokens = RETURN_PROMPT_TOKENS + 300 * (turn + 1)
        target, found_tokens, imported_tokens = world.cluster.serve(
            "chat-0", prompt_tokens
        )
        assert target == world.result[0]
        assert (found_tokens, imported_tokens) == (prompt_tokens - 200, 0)
    holders = [
        address for address, cache in world.cluster.caches.items() if "chat-0" in cache
    ]
    assert sorted(holders) == sorted([world.home, target])


@given("a chat whose home believes that another engine holds its prefix")
def wrong_hint(world):
    cluster = world.cluster
    other = next(address for address in cluster.planners if address != world.home)
    planner = cluster.planners[world.home]
    cluster.caches[world.home].clear()
    planner.index.entries.clear()
    planner.index.record_other_holder("chat-0", other, CACHED_TOKENS)
    world.result = (other,)


@when("the chat returns and the import finds nothing")
def import_finds_nothing(world):
    cluster = world.cluster
    request = cluster.request("chat-0", RETURN_PROMPT_TOKENS)
    decision = cluster.decide(world.home, request)
    assert isinstance(decision, Run)
    assert decision.import_from == world.result[0]
    world.result = cluster.complete(world.home, request, decision)


@then("the chat is prefilled and the hint is gone")
def hint_removed(world):
    assert world.result == (0, 0)
    assert world.cluster.planners[world.home].index.get("chat-0").other_holder == ""
    assert world.cluster.serve("chat-0", 3600) == (world.home, 3400, 0)


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
def surge_on_one_home(world):
    model = world.model
    start_ms, end_ms = WARM_UP_S * MS_PER_S, (WARM_UP_S + SURGE_S) * MS_PER_S
    model.schedule(start_ms, model.surge, 2.0, end_ms, next(iter(model.engines)))
    model.run()


@when("one of three data centres is lost")
def lose_data_centre(world):
    world.model.schedule(WARM_UP_S * MS_PER_S, world.model.lose_data_centre, "dc-0")
    world.model.run()


@then("no admission exceeds the load bound")
def load_bound_holds(world):
    assert world.model.counts.admissions > 0
    assert world.model.counts.violations == 0


@then("the surge is served by other engines")
def surge_served(world):
    counts = world.model.counts
    # Without the surge the model offers 1.6 requests/s per engine.
    assert counts.requests > 1.2 * 1.6 * 10 * 2 * SURGE_S
    assert counts.given_up < 0.1 * counts.requests


@then("every chat has a live home and the pool serves as before")
def serves_as_before(world):
    model, counts = world.model, world.model.counts
    for chat in model.idle_chats:
        assert model.engines[model.home_of(chat)].alive
    assert counts.requests > 0.9 * 1.6 * 12 * 2 * SURGE_S
    assert counts.given_up < 0.1 * counts.requests
