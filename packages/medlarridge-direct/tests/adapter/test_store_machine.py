"""Store, servers, operator and three routers as a state machine.

The checks of ``Observer`` run at each step of time; hypothesis chooses and shrinks the
operations.
"""

import asyncio
import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from .store_model import Fleet
from .test_store_eras import CONVERGENCE_MS, ROUTERS, Observer

EXAMPLES = int(os.environ.get("MEDLARRIDGE_MACHINE_EXAMPLES", "25"))
DISTURBANCE_MS = st.integers(200, 4_000)


class StoreMachine(RuleBasedStateMachine):
    """Each rule is one operation; the fleet runs for a moment after it."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.observer = self.runner.run(self.start())

    async def start(self):
        observer = Observer(Fleet())
        await observer.run(1_000)
        return observer

    def apply(self, *operation):
        self.runner.run(self.observer.apply(operation))

    @rule(duration_ms=st.integers(50, 3_000))
    def run(self, duration_ms):
        self.apply("run", duration_ms)

    @rule(copy_age_ms=st.integers(200, 6_000), away_ms=st.integers(0, 1_500))
    def drill(self, copy_age_ms, away_ms):
        self.apply("drill", copy_age_ms, away_ms)

    @rule(router=ROUTERS, duration_ms=DISTURBANCE_MS)
    def cut_from_store(self, router, duration_ms):
        self.apply("cut", router, duration_ms)

    @rule(router=ROUTERS, duration_ms=DISTURBANCE_MS)
    def isolate(self, router, duration_ms):
        self.apply("isolate", router, duration_ms)

    @rule(router=ROUTERS, duration_ms=DISTURBANCE_MS)
    def slow_store(self, router, duration_ms):
        self.apply("slow", router, duration_ms)

    @rule()
    def add_server(self):
        self.apply("add")

    @rule()
    def configure(self):
        self.apply("configure")

    @precondition(lambda self: self.observer.pick_ready(0) is not None)
    @rule(number=st.integers(0, 20))
    def drain_server(self, number):
        self.apply("drain", number)

    @precondition(lambda self: self.observer.pick_ready(0) is not None)
    @rule(number=st.integers(0, 20))
    def lose_server(self, number):
        self.apply("vanish", number)

    @invariant()
    def routers_agree_with_the_checks(self):
        self.observer.check()

    def teardown(self):
        """Let the disturbances end; all routers must agree with the store then."""
        try:
            self.runner.run(self.converge())
        finally:
            self.runner.close()

    async def converge(self):
        observer = self.observer
        quiet_ms = max(*observer.disturbed_ms, observer.fleet.store.last_drill_ms)
        try:
            await observer.run(max(quiet_ms - observer.now_ms, 0) + CONVERGENCE_MS)
            observer.check_convergence()
        finally:
            await observer.fleet.close()


class TestStoreMachine(StoreMachine.TestCase):
    """Guards against an order of operations in which state of an older copy returns."""

    settings = settings(
        derandomize=True,
        max_examples=EXAMPLES,
        stateful_step_count=12,
        deadline=None,
        database=None,
    )
