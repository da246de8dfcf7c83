"""Size and CPU time of the configuration at the target size."""

import time
import tracemalloc
from collections.abc import Callable

import msgspec

from medlarridge._internal.coordination.accepted_configuration import Configuration
from medlarridge._internal.protocol.gossip import decode_reply, encode
from medlarridge._internal.protocol.tables import Tables
from medlarridge._internal.state.platform import VmList
from medlarridge._internal.transport.exchange import compress_reply

from ..report import Row
from . import capacity

MODELS = 8
ACCOUNTS = 11_000
NODES = 4800
ROUNDS = 5
NS_PER_MS = 1_000_000
KB = 1024


def tables(burst: int = 20) -> Tables:
    """Return tables in which each account has a limit on one of the routes."""
    limits: list[dict[str, dict[str, int]]] = [{} for _ in range(MODELS)]
    for number in range(ACCOUNTS):
        limits[number % MODELS][f"account-{number:05}"] = {
            "requests_per_s": 5 + number % 50,
            "burst": 20,
        }
    limits[0]["account-00000"]["burst"] = burst
    centres = [f"data-centre-{number}" for number in range(12)]
    return Tables.model_validate(
        {
            "pools": {
                f"pool-{n}": {"kind": "engine", "data_centres": centres}
                for n in range(MODELS)
            },
            "routes": {
                f"route-{n}": {"pools": [f"pool-{n}"], "account_limits": limits[n]}
                for n in range(MODELS)
            },
        }
    )


def time_ms(action: Callable[[], object]) -> float:
    """Return the mean CPU time of an action."""
    started = time.process_time_ns()
    for _ in range(ROUNDS):
        action()
    return (time.process_time_ns() - started) / ROUNDS / NS_PER_MS


@capacity.scenario("tables")
def configuration() -> list[Row]:
    """Measure the accepted configuration and the delta of one edit."""
    first = Configuration().successor(tables(), 1, 1)
    edited = tables(21)
    second = first.successor(edited, 2, 1)
    document = second.to_json()
    delta = second.delta(1)
    data = encode(delta)
    received = decode_reply(data, "peer")
    if first.apply(received, "peer").digest != second.digest:
        raise AssertionError("the delta leads to another configuration")
    tracemalloc.start()
    kept = Configuration.from_json(document, "store")
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Row("configuration: config/accepted", len(document) / KB, "KB"),
        Row(
            "configuration: delta after one edit", len(compress_reply(data)) / KB, "KB"
        ),
        Row("configuration: memory of one generation", memory / KB / KB, "MiB"),
        Row(
            "configuration: read config/accepted, CPU time",
            time_ms(lambda: Configuration.from_json(document, "store")),
            "ms",
        ),
        Row(
            "configuration: decode and apply the delta, CPU time",
            time_ms(lambda: first.apply(decode_reply(data, "peer"), "peer")),
            "ms",
        ),
        Row(
            "configuration: encode the delta, CPU time",
            time_ms(lambda: encode(kept.delta(1))),
            "ms",
        ),
        Row(
            "configuration: accept one edit, CPU time",
            time_ms(lambda: first.successor(edited, 2, 1).to_json()),
            "ms",
        ),
    ]


@capacity.scenario("vm-list")
def vm_list() -> list[Row]:
    """Measure the platform's list of VMs of the whole fleet."""
    vms = [
        {
            "address": f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:8000",
            "data_centre": f"data-centre-{n % 12}",
            "state": "live",
        }
        for n in range(NODES)
    ]
    data = msgspec.json.encode({"version": 1, "vms": vms})
    parse_ms = time_ms(lambda: msgspec.json.decode(data, type=VmList))
    return [
        Row(f"VM list of {NODES} VMs", len(data) / KB, "KB"),
        Row(f"VM list of {NODES} VMs: decode, CPU time", parse_ms, "ms"),
    ]
