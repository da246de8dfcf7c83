from random import Random
from types import SimpleNamespace

import anyio
import httpx
import msgspec
import pytest

from medlarridge._internal.coordination.orders import Mark, Order, OrderKind
from medlarridge._internal.fleet import StaticFleet
from medlarridge._internal.identity import Instance, Role
from medlarridge._internal.protocol.tables import Tables
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.state.order_journal import OrderJournal
from medlarridge._internal.transport.asgi import Endpoints
from medlarridge_sidecar._internal.engine_orders import EngineOrders
from medlarridge_standins.in_memory_transport import InMemoryTransport
from medlarridge_standins.local_fleet import SHARED_KEY

INSTANCE = Instance("sidecar:1", 7, "dc", "region", Role.SIDECAR)
TABLES = {
    "pools": {"p": {"kind": "engine", "data_centres": ["dc"], "models": ["footfall"]}}
}


def order(fencing, name="footfall", target=7):
    mark = Mark(fencing, 1)
    return Order(INSTANCE.address, target, OrderKind.LOAD_MODEL, name, mark)


class World:
    """A sidecar whose engine ignores fencing numbers."""

    def __init__(self, tasks):
        self.store = MemoryStore()
        self.carried_out = []
        transport = InMemoryTransport(tasks)
        engine = Endpoints()

        @engine.register("POST", "/orders")
        async def take(request, response):
            body = msgspec.json.decode(await request.body())
            self.carried_out.append((body["fencing_number"], body["name"]))
            await response.reply(204, b"")

        transport.applications["engine:1"] = engine
        self.client = httpx.AsyncClient(transport=transport)
        fleet = StaticFleet(Tables.model_validate(TABLES))
        node = SimpleNamespace(
            store=self.store, instance=INSTANCE, fleet=fleet, random=Random(1)
        )
        self.orders = EngineOrders(node, "p", "http://engine:1", self.client)
        self.orders.tasks = tasks
        links = Endpoints()
        self.orders.add_endpoint(links, SHARED_KEY)
        transport.applications[INSTANCE.address] = links

    async def send(self, order, record=True):
        if record:
            await OrderJournal(self.store).record(order)
        reply = await self.client.post(
            f"http://{INSTANCE.address}/orders",
            content=msgspec.msgpack.encode(order),
            headers=SHARED_KEY.headers(),
        )
        await anyio.wait_all_tasks_blocked()
        return reply


@pytest.fixture
async def world():
    async with anyio.create_task_group() as tasks:
        yield World(tasks)
        tasks.cancel_scope.cancel()


class TestEngineOrders:
    async def test_carries_out_an_order_and_then_lacks_nothing(self, world):
        """Guards against an engine that is told the same again and again."""
        assert world.orders.has_need()
        assert (await world.send(order(1))).status_code == 202
        assert world.carried_out == [(1, "footfall")]
        assert not world.orders.has_need()

    async def test_refuses_a_paused_controller_after_a_restart(self, world):
        """Guards against an old order at an engine that ignores the numbers."""
        await OrderJournal(world.store).record(order(5))
        reply = await world.send(order(4), record=False)
        assert (reply.status_code, "stale" in reply.text) == (409, True)
        assert world.carried_out == []

    async def test_refuses_orders_while_the_highest_mark_is_unknown(self, world):
        """Guards against an old order that passes while the store is down."""
        world.store.available = False
        reply = await world.send(order(1), record=False)
        assert (reply.status_code, "unavailable" in reply.text) == (409, True)
        assert world.carried_out == []

    async def test_refuses_orders_for_an_earlier_instance(self, world):
        """Guards against an order meant for what ran at the address before."""
        assert (await world.send(order(1, target=6))).status_code == 409
        assert world.carried_out == []

    async def test_needs_the_process_key(self, world):
        """Guards against orders from callers."""
        reply = await world.client.post(f"http://{INSTANCE.address}/orders")
        assert reply.status_code == 401
