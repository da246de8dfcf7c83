"""Requests with unknown or revoked keys after the last key has been taken away."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from harness import CONFIG_APPLY_S, KEYS, TENANTS, TROUBLE, route, run_case  # noqa: E402

REVOKE_GAP_S = 0.4
NEVER_HELD = "zzzzneverheldzzzzzzz"
ROUTES = [
    route("r-figures", "/cufi504/", "safe", "wuno96b", maxAttempts=2),
    route("r-invoice", "/puxa403/", "unsafe", "wuno96b"),
]
SERVICES = [
    {"name": "wuno96b", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}
]


def tenants(keys):
    return [
        {"name": name, "apiKeys": [KEYS[name]] if name in keys else [], "priority": 1}
        for name in TENANTS
    ]


async def case(fleet):
    await fleet.start_store()
    held = set(TENANTS)
    await fleet.write_configuration(ROUTES, SERVICES, tenants(held))
    for number in range(3):
        await fleet.start_runner(number, "wuno96b", f"i-run{number}")
    await fleet.wait_listed(3)
    await fleet.start_routers()
    await fleet.wait_ready()
    await asyncio.sleep(4)

    first = await fleet.request(0, "GET", "/cufi504/a/1", "before-known", KEYS["hule930"])
    unknown = await fleet.request(0, "GET", "/cufi504/a/1", "before-unknown", NEVER_HELD)
    if first.status != 200 or unknown.status != 401:
        raise RuntimeError("the deployment does not serve as it should before the case")

    for name in TENANTS:
        if TROUBLE:
            held.discard(name)
        acknowledged = await fleet.write_configuration(ROUTES, SERVICES, tenants(held))
        await asyncio.sleep(REVOKE_GAP_S)
    # All routers have been in touch for over stabilityWindowMs, and configApplyMs is over.
    await asyncio.sleep(max(acknowledged + 2 * CONFIG_APPLY_S - time.monotonic(), 0))

    for router in range(3):
        for each in range(5):
            await fleet.request(router, "GET", "/cufi504/a/1", f"never-{router}-{each}", NEVER_HELD)
            await fleet.request(router, "POST", "/puxa403/b/2", f"nokey-{router}-{each}", None, b"x" * 600)
            await fleet.request(router, "GET", "/cufi504/a/1", f"revoked-{router}-{each}", KEYS["hule930"])
            await asyncio.sleep(0.05)
    await asyncio.sleep(1)

    ran = [event["id"] for event in fleet.runs()]
    never = [each for each in ran if each.startswith(("never-", "nokey-"))]
    dropped = [each for each in ran if TROUBLE and each.startswith("revoked-")]
    fleet.record("result", ran_without_any_held_key=len(never), ran_with_revoked_key=len(dropped))
    print(f"ROUTE: {len(never)} of 30 requests ran whose key no configuration ever held")
    print(f"CONFIG: {len(dropped)} of 15 requests ran with a key dropped before")
    return bool(never or dropped)


run_case(case, HERE)
