"""Since when routes lead to one pool alone."""

from msgspec.structs import replace

from medlarridge import ManualClock
from medlarridge_direct._internal.protocol.configuration import PoolShare, RouteKind
from medlarridge_direct._internal.state.route_pools import RoutePools, route_key

from ..samples import configuration, route

SPAN_MS = 10_000
PLACE = ("desk.example", "/plan/")
NARROWER = ("desk.example", "/plan/night/")


def leads(place, *pools):
    """Return a route for streams at a place that leads to these pools."""
    shares = tuple(PoolShare(pool, 1 / len(pools)) for pool in pools)
    return replace(
        route(RouteKind.STREAM, resumable=True, pools=shares),
        name="/".join(place),
        host=place[0],
        path_prefix=place[1],
    )


class Routes(RoutePools):
    """Route pools that get configurations with these routes."""

    def apply(self, *routes):
        self.refresh(replace(configuration(), routes=routes))

    def settled(self, place=PLACE, pool="models"):
        return self.is_settled(place, pool, SPAN_MS)

    def stored_keys(self, *stored, pool="models", is_first=False):
        self.checked_ms.clear()
        return self.settled_keys(pool, SPAN_MS, stored, is_first)


def make_routes(*routes):
    pools = Routes(ManualClock(1_000_000))
    pools.apply(*routes)
    return pools


class TestSettled:
    def test_a_route_settles_after_the_longest_time(self):
        """Guards against ORDER: a pool taken for the only one after a moment."""
        routes = make_routes(leads(PLACE, "models"))
        assert not routes.settled()
        routes.clock.advance(SPAN_MS)
        assert routes.settled()

    def test_a_route_that_moves_settles_anew(self):
        """Guards against ORDER: streams of the pool to which the route led before."""
        routes = make_routes(leads(PLACE, "models"))
        routes.clock.advance(SPAN_MS)
        routes.apply(leads(PLACE, "spare"))
        assert not routes.settled(pool="spare")
        routes.apply(leads(PLACE, "models"))
        routes.clock.advance(SPAN_MS - 1)
        assert not routes.settled()
        routes.clock.advance(1)
        assert routes.settled()

    def test_a_route_with_several_pools_never_settles(self):
        """Guards against ORDER: one of two pools taken for the only one."""
        routes = make_routes(leads(PLACE, "models", "spare"))
        routes.clock.advance(SPAN_MS)
        assert not routes.settled()

    def test_a_route_settles_anew_when_a_narrower_one_is_removed(self):
        """Guards against ORDER: streams of a removed route at the one that covers it."""
        routes = make_routes(leads(PLACE, "models"), leads(NARROWER, "spare"))
        routes.clock.advance(SPAN_MS)
        routes.apply(leads(PLACE, "models"))
        assert not routes.settled()
        routes.clock.advance(SPAN_MS)
        assert routes.settled()

    def test_a_narrower_route_to_the_same_pool_does_not_matter(self):
        """Guards against LOST: records for routes whose streams begin in one pool."""
        routes = make_routes(leads(PLACE, "models"))
        routes.clock.advance(SPAN_MS)
        routes.apply(leads(PLACE, "models"), leads(NARROWER, "models"))
        assert routes.settled()
        assert not routes.settled(NARROWER)
        routes.apply(leads(PLACE, "models"))
        assert routes.settled()

    def test_a_narrower_route_that_moved_and_left_matters(self):
        """Guards against ORDER: streams of the pool from which it moved before."""
        routes = make_routes(leads(PLACE, "models"), leads(NARROWER, "spare"))
        routes.clock.advance(SPAN_MS)
        routes.apply(leads(PLACE, "models"), leads(NARROWER, "models"))
        routes.apply(leads(PLACE, "models"))
        assert not routes.settled()

    def test_other_changes_do_not_matter(self):
        """Guards against LOST after changes of time-outs, weights or other routes."""
        routes = make_routes(leads(PLACE, "models"))
        routes.clock.advance(SPAN_MS)
        slower = replace(leads(PLACE, "models"), timeout_ms=9_000)
        routes.apply(slower, leads(("other.example", "/"), "spare"))
        assert routes.settled()


class TestStored:
    KEY = route_key(PLACE, "models")

    def test_a_stored_route_is_settled_after_a_restart(self):
        """Guards against LOST: a wait for the longest time after each restart."""
        routes = make_routes(leads(PLACE, "models"))
        routes.stored["models"] = {self.KEY}
        assert routes.settled()
        assert not routes.settled(pool="spare")

    def test_a_stored_route_that_moved_since_is_not(self):
        """Guards against ORDER: a key from before the route moved away and back."""
        routes = make_routes(leads(PLACE, "models"))
        routes.stored["models"] = {self.KEY}
        routes.apply(leads(PLACE, "spare"))
        routes.apply(leads(PLACE, "models"))
        assert not routes.settled()

    def test_a_stored_route_is_not_if_a_narrower_one_was_removed_meanwhile(self):
        """Guards against ORDER: a route that is removed while all routers restart."""
        before = make_routes(leads(PLACE, "models"), leads(NARROWER, "spare"))
        routes = make_routes(leads(PLACE, "models"))
        routes.stored["models"] = set(before.stored_keys(is_first=True))
        assert not routes.settled()

    def test_new_routes_are_stored_when_they_have_settled(self):
        """Guards against ORDER: a new route that the store calls settled."""
        routes = make_routes(leads(PLACE, "models"))
        assert routes.stored_keys() == ()
        assert routes.stored_keys(self.KEY) == (self.KEY,)
        assert routes.stored_keys(is_first=True) == (self.KEY,)
        routes.clock.advance(SPAN_MS)
        assert routes.stored_keys() == (self.KEY,)

    def test_routes_that_moved_away_are_not_stored_any_more(self):
        """Guards against ORDER: a key that stays although the route moved."""
        routes = make_routes(leads(PLACE, "models"))
        routes.clock.advance(SPAN_MS)
        routes.apply(leads(PLACE, "spare"))
        assert routes.stored_keys(self.KEY) == ()
        assert routes.stored_keys(self.KEY, pool="spare") == ()
