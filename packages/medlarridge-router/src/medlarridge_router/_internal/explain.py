"""Explains to which servers the router would send a request."""

from medlarridge._internal.protocol.caller import DEFAULT_ACCOUNT

from .router import Router

MAX_EXPLAINED_MEMBERS = 4


def explain_route(router: Router, query: dict[str, str]) -> dict[str, object]:
    """Return the pools and servers in the order in which they would be tried."""
    name = query.get("route", "")
    route = router.fleet.tables.routes.get(name)
    if route is None:
        return {"error": f"no route {name!r} in generation {router.fleet.generation}"}
    account = query.get("account") or DEFAULT_ACCOUNT
    chat = query.get("chat", "")
    pools = []
    for position, pool in enumerate(route.pools):
        members = router.placements.for_pool(pool).rank(
            f"{account}/{chat}" if chat else "",
            MAX_EXPLAINED_MEMBERS,
            router.instance.region,
            route.other_regions,
        )
        reason = (
            "first choice" if position == 0 else f"after {route.pools[position - 1]}"
        )
        if not members:
            reason += ", but it has no member that may take work"
        elif not chat:
            reason += "; without a chat the first server is a matter of chance"
        pools.append(
            {
                "pool": pool,
                "reason": reason,
                "members": [
                    {
                        "address": member.instance.address,
                        "data_centre": member.instance.data_centre,
                    }
                    for member in members
                ],
            }
        )
    return {"generation": router.fleet.generation, "pools": pools}
