"""Streams whose route leads to another pool when all routers have restarted together."""

import pytest
from msgspec.structs import replace

from medlarridge_direct._internal.coordination.hashing import hash_to_fraction
from medlarridge_direct._internal.protocol.configuration import (
    Pool,
    PoolShare,
    RouteKind,
)

from .samples import configuration, listing, route, server
from .test_stream_restarts import RestartingFleet
from .test_stream_versions import HANDOVER_MS

pytestmark = pytest.mark.anyio

MODELS = (PoolShare("models", 1.0),)
SPARE = (PoolShare("spare", 1.0),)
SPLIT = (PoolShare("models", 0.5), PoolShare("spare", 0.5))
IN_MODELS = next(
    each for each in map(str, range(100)) if hash_to_fraction("r-1", each) < 0.5
)
"""ID of a request that the split sends to the first pool."""


class MovingFleet(RestartingFleet):
    """Routers with two pools of one version each, and a route that moves."""

    def __init__(self, shares):
        self.shares = shares
        self.configuration_version = 5
        super().__init__({"a": "v1", "s": "v9"})

    def list_servers(self, versions=None):
        self.revision += 1
        listed = listing(
            server("a", software_version="v1"),
            server("s", port=9000, pool="spare", software_version="v9"),
            revision=self.revision,
            era=self.era,
        )
        stream_route = route(RouteKind.STREAM, resumable=True, pools=self.shares)
        current = replace(
            configuration(stream_route, version=self.configuration_version),
            pools={
                name: Pool(name, 300, runs_models=True) for name in ("models", "spare")
            },
        )
        self.fleet.registry.listing = listed
        for router in self.fleet.routers.values():
            components = router.components
            now_ms = components.clock.now_ms()
            components.configuration.apply_if_newer(current, now_ms)
            components.servers.update(listed, now_ms)

    def move(self, shares):
        self.shares = shares
        self.configuration_version += 1
        self.list_servers()


class TestMovedRoute:
    @pytest.mark.parametrize("restart", [False, True], ids=["running", "restarted"])
    @pytest.mark.parametrize("before", [MODELS, SPLIT], ids=["moved", "split"])
    async def test_a_stream_does_not_go_on_in_a_pool_that_did_not_begin_it(
        self, before, restart
    ):
        """Guards against the rest of a stream from a pool to which its route moved."""
        fleet = MovingFleet(before)
        await fleet.settle()
        await fleet.begin(0, "a", request_id=IN_MODELS)
        await fleet.run(HANDOVER_MS)
        fleet.move(SPARE)
        await fleet.run(HANDOVER_MS)
        if restart:
            await fleet.restart_all()
        for number in fleet.fleet.routers:
            response, asked = await fleet.resume(number, IN_MODELS, "another")
            assert asked == []
            assert response.status == 503
