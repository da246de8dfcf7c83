"""Share one server fairly between a surging account and a small one."""

from random import Random

from medlarridge import ManualClock
from medlarridge.coordination import FairQueue, QueueEntry, QueueLimits, Shed

CAPACITY_TOKENS = 4_000
RUN_MS = 100

clock = ManualClock()
queue = FairQueue(
    clock,
    Random(7),
    lambda tokens: queue.running_tokens + tokens <= CAPACITY_TOKENS,
    QueueLimits(max_entries=50),
)
refused = 0


def offer(key: str, account: str) -> None:
    """Offer a request and count it if the queue sheds it."""
    global refused
    entry = QueueEntry(key, account, 1_000, deadline_ms=clock.now_ms() + 10_000)
    if isinstance(queue.offer(entry), Shed):
        refused += 1


for number in range(100):
    offer(f"surge-{number}", "surging")
started = queue.dispatch()
print("first started:", [entry.key for entry in started])
print("shed because the queue is full:", refused)

# Cancel one entry to make room; the small account then queues behind 49 others.
queue.cancel("surge-49")
offer("small-0", "small")
clock.advance(RUN_MS)
for entry in started:
    queue.finish(entry.key)
started = queue.dispatch()
print("next started:", [entry.key for entry in started])
print("small account waited ms:", clock.now_ms() - queue.running["small-0"].queued_ms)

clock.advance(10_000)
expired = queue.expire()
print("expired:", len(expired), "reason:", expired[0].reason.value)
