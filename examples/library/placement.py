"""Place chats on engines; an engine over its load bound refuses more work."""

from collections import Counter

from medlarridge import Instance, Member, Role
from medlarridge.coordination import Admitted, LoadBound, MeanEstimate, Placement

BOUND = 1.25
CHATS = 200
TOKENS = 100


def engine(number: int) -> Member:
    """Return one engine of the pool."""
    address = f"10.0.0.{number}:7200"
    instance = Instance(address, number, "manzanillo-a", "pacifico-mx", Role.SIDECAR)
    return Member(instance, "asistente-frio")


members = [engine(number) for number in range(1, 6)]
placement = Placement(members)
bound = LoadBound(BOUND)
loads = dict.fromkeys((m.instance.address for m in members), 0.0)
tries: Counter[int] = Counter()

for chat in range(CHATS):
    # PoolMean aggregates this over a tree of sidecars; here all loads are known.
    mean = sum(loads.values()) / len(loads)
    for number, member in enumerate(placement.rank(f"berth-{chat}", 5), start=1):
        address = member.instance.address
        estimate = MeanEstimate(mean, age_ms=0, own_load=loads[address])
        decision = bound.admit(loads[address], TOKENS, member.weight, estimate)
        if isinstance(decision, Admitted):
            loads[address] = decision.load
            bound.observe(TOKENS)
            tries[number] += 1
            break

mean = sum(loads.values()) / len(loads)
print("chats at their home:", tries[1], "of", CHATS)
print("placed:", tries.total())
print(f"highest load over mean: {max(loads.values()) / mean:.2f}, bound {BOUND}")

home = placement.rank("berth-14", 1)[0]
placement.update([m for m in members if m != home])
moved = [f"berth-{chat}" for chat in range(CHATS)]
before = {key: Placement(members).rank(key, 1)[0] for key in moved}
others = sum(
    before[key] != home and placement.rank(key, 1)[0] != before[key] for key in moved
)
print("chats of other engines that move when one leaves:", others)
