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


class SidecarWithEngine:
    """Sidecar with an engine that does not check fencing numbers."""

    def __init__(self, tasks):
        self.store = MemoryStore()
        self.executed = []
        transport = InMemoryTransport(tasks)
        engine = Endpoints()

        @engine.register("POST", "/orders")
        async def accept(request, response):
            body = msgspec.json.decode(await request.body())
            self.executed.append((body["fencing_number"], body["name"]))
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
        response = await self.client.post(
            f"http://{INSTANCE.address}/orders",
            content=msgspec.msgpack.encode(order),
            headers=SHARED_KEY.headers(),
        )
        await anyio.wait_all_tasks_blocked()
        return response


@pytest.fixture
async def sidecar():
    async with anyio.create_task_group() as tasks:
        yield SidecarWithEngine(tasks)
        tasks.cancel_scope.cancel()


class TestEngineOrders:
    async def test_executed_order_is_not_needed_again(self, sidecar):
        """Guards against an order that is repeated although it was executed."""
        assert sidecar.orders.needs_orders()
        assert (await sidecar.send(order(1))).status_code == 202
        assert sidecar.executed == [(1, "footfall")]
        assert not sidecar.orders.needs_orders()

    async def test_refuses_a_former_controller_after_a_restart(self, sidecar):
        """Guards against stale orders at an engine that does not check fencing."""
        await OrderJournal(sidecar.store).record(order(5))
        response = await sidecar.send(order(4), record=False)
        assert (response.status_code, "stale" in response.text) == (409, True)
        assert sidecar.executed == []

    async def test_refuses_orders_while_the_highest_mark_is_unknown(self, sidecar):
        """Guards against stale orders that are accepted while the store is down."""
        sidecar.store.available = False
        response = await sidecar.send(order(1), record=False)
        assert (response.status_code, "unavailable" in response.text) == (409, True)
        assert sidecar.executed == []

    async def test_refuses_orders_for_an_earlier_instance(self, sidecar):
        """Guards against orders that target an earlier process at the address."""
        assert (await sidecar.send(order(1, target=6))).status_code == 409
        assert sidecar.executed == []

    async def test_requires_the_shared_key(self, sidecar):
        """Guards against orders from callers, who do not have the shared key."""
        response = await sidecar.client.post(f"http://{INSTANCE.address}/orders")
        assert response.status_code == 401
