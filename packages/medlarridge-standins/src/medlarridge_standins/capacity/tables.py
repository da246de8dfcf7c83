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

MODEL_COUNT = 8
ACCOUNT_COUNT = 11_000
VM_COUNT = 4800
ROUNDS = 5
NS_PER_MS = 1_000_000
KB = 1024


def build_tables(first_burst: int = 20) -> Tables:
    """Return tables in which each account has a limit on one of the routes.

    ``first_burst`` is the burst of the first account's limit.
    """
    limits: list[dict[str, dict[str, int]]] = [{} for _ in range(MODEL_COUNT)]
    for number in range(ACCOUNT_COUNT):
        limits[number % MODEL_COUNT][f"account-{number:05}"] = {
            "requests_per_s": 5 + number % 50,
            "burst": 20,
        }
    limits[0]["account-00000"]["burst"] = first_burst
    data_centres = [f"data-centre-{number}" for number in range(12)]
    return Tables.model_validate(
        {
            "pools": {
                f"pool-{n}": {"kind": "engine", "data_centres": data_centres}
                for n in range(MODEL_COUNT)
            },
            "routes": {
                f"route-{n}": {"pools": [f"pool-{n}"], "account_limits": limits[n]}
                for n in range(MODEL_COUNT)
            },
        }
    )


def mean_cpu_ms(action: Callable[[], object]) -> float:
    """Return the mean CPU time of an action in milliseconds."""
    started = time.process_time_ns()
    for _ in range(ROUNDS):
        action()
    return (time.process_time_ns() - started) / ROUNDS / NS_PER_MS


@capacity.scenario("tables")
def configuration() -> list[Row]:
    """Measure the accepted configuration and the delta of a single edit."""
    base_configuration = Configuration().successor(build_tables(), 1, 1)
    edited_tables = build_tables(21)
    edited_configuration = base_configuration.successor(edited_tables, 2, 1)
    document = edited_configuration.to_json()
    delta = edited_configuration.delta(1)
    encoded = encode(delta)
    received_delta = decode_reply(encoded, "peer")
    if (
        base_configuration.apply(received_delta, "peer").digest
        != edited_configuration.digest
    ):
        raise AssertionError("applying the delta did not give the edited configuration")
    tracemalloc.start()
    decoded = Configuration.from_json(document, "store")
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Row("configuration: config/accepted", len(document) / KB, "KB"),
        Row(
            "configuration: delta after one edit",
            len(compress_reply(encoded)) / KB,
            "KB",
        ),
        Row("configuration: memory of one generation", memory_bytes / KB / KB, "MiB"),
        Row(
            "configuration: read config/accepted, CPU time",
            mean_cpu_ms(lambda: Configuration.from_json(document, "store")),
            "ms",
        ),
        Row(
            "configuration: decode and apply the delta, CPU time",
            mean_cpu_ms(
                lambda: base_configuration.apply(decode_reply(encoded, "peer"), "peer")
            ),
            "ms",
        ),
        Row(
            "configuration: encode the delta, CPU time",
            mean_cpu_ms(lambda: encode(decoded.delta(1))),
            "ms",
        ),
        Row(
            "configuration: accept one edit, CPU time",
            mean_cpu_ms(
                lambda: base_configuration.successor(edited_tables, 2, 1).to_json()
            ),
            "ms",
        ),
    ]


@capacity.scenario("vm-list")
def vm_list() -> list[Row]:
    """Measure the platform's VM list for the whole fleet."""
    vms = [
        {
            "address": f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:8000",
            "data_centre": f"data-centre-{n % 12}",
            "state": "live",
        }
        for n in range(VM_COUNT)
    ]
    encoded = msgspec.json.encode({"version": 1, "vms": vms})
    parse_ms = mean_cpu_ms(lambda: msgspec.json.decode(encoded, type=VmList))
    return [
        Row(f"VM list of {VM_COUNT} VMs", len(encoded) / KB, "KB"),
        Row(f"VM list of {VM_COUNT} VMs: decode, CPU time", parse_ms, "ms"),
    ]
