import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.crashing_parts import (
    FIRST_TRIAL_MS,
    MAX_CRASHES_BEFORE_TRIAL,
    MAX_CRASHES_KEPT,
    MAX_SUCCESSES,
    MAX_SUSPECTS,
    MAX_TRIALS,
    MAX_TRIALS_AFTER_SUCCESS,
    MIN_CRASHES,
    MIN_CRASHES_AFTER_SUCCESS,
    PROBATION_TRIAL_MS,
    RETENTION_MS,
    TRIAL_DELAY_PER_RANK_MS,
    CrashingParts,
)
from medlarridge_direct._internal.coordination.part_crashes import (
    MAX_KEY_LENGTH,
    MAX_OWN_KEYS,
    SHARED_KEYS,
    TOGETHER_MS,
    PartCrash,
    part_key,
    part_keys,
)

CRASHES_ALLOWED = 5


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def crashing_parts(clock):
    return CrashingParts(clock)


def crash(crashing_parts, clock, server, *parts, pause_ms=2 * TOGETHER_MS):
    """Let a server crash under requests with some parts."""
    clock.advance(pause_ms)
    for part in parts:
        crashing_parts.add_crash(PartCrash(part, server))


def refuse(crashing_parts, clock, *parts):
    for number in range(MIN_CRASHES):
        crash(crashing_parts, clock, f"s-{number}", *parts)


class TestEvidence:
    def test_a_part_is_refused_within_the_crashes_that_the_platform_allows(
        self, crashing_parts, clock
    ):
        """Guards against a part that may crash servers for as long as it likes."""
        for number in range(CRASHES_ALLOWED):
            crash(crashing_parts, clock, f"s-{number}", "bad")
        assert crashing_parts.find_held(["bad"]) == ["bad"]

    def test_a_part_that_was_answered_before_is_refused_within_them_too(
        self, crashing_parts, clock
    ):
        """Guards against a part that begins to crash servers after a release."""
        crashing_parts.record_success(["bad"])
        for number in range(CRASHES_ALLOWED):
            crash(crashing_parts, clock, f"s-{number}", "bad")
        assert crashing_parts.find_held(["bad"]) == ["bad"]

    def test_servers_that_end_together_are_one_crash(self, crashing_parts, clock):
        """Guards against blaming a part for a rack that lost power."""
        for number in range(10):
            crash(crashing_parts, clock, f"s-{number}", "sound", pause_ms=90)
        assert not crashing_parts.refused

    def test_one_crash_told_by_many_routers_counts_once(self, crashing_parts, clock):
        """Guards against evidence that grows with the number of routers."""
        for _ in range(10):
            crash(crashing_parts, clock, "s-1", "sound")
        assert not crashing_parts.refused

    def test_a_success_ends_earlier_evidence(self, crashing_parts, clock):
        """Guards against blaming the part that all requests of a route share."""
        for number in range(3 * MIN_CRASHES_AFTER_SUCCESS):
            crash(crashing_parts, clock, f"s-{number}", "system")
            clock.advance(100)
            crashing_parts.record_success(["system"])
        assert not crashing_parts.refused

    def test_a_success_that_a_peer_saw_ends_earlier_evidence(
        self, crashing_parts, clock
    ):
        """Guards against a router that blames a part which others see answered."""
        refuse(crashing_parts, clock, "sound")
        clock.advance(1_000)
        crashing_parts.record_peer_success("sound", 500)
        assert not crashing_parts.refused

    def test_evidence_older_than_a_success_is_not_taken(self, crashing_parts, clock):
        """Guards against a late report that blames a part again."""
        crashing_parts.record_success(["sound"])
        for number in range(MIN_CRASHES_AFTER_SUCCESS):
            age_ms = 10_000 + number * TOGETHER_MS
            assert not crashing_parts.add_crash(
                PartCrash("sound", f"s-{number}", age_ms)
            )
        assert crashing_parts.answered_lately() == [("sound", clock.now_ms())]

    def test_a_refused_part_explains_the_crashes_beside_it(self, crashing_parts, clock):
        """Guards against refusing parts that ran beside the crashing one."""
        crash(crashing_parts, clock, "s-0", "bad")
        for number in range(1, 5):
            crash(crashing_parts, clock, f"s-{number}", "bad", "beside")
        assert crashing_parts.refused == {"bad"}

    def test_parts_that_were_never_answered_are_judged_first(
        self, crashing_parts, clock
    ):
        """Guards against blaming a part that runs on every server while all of them
        crash (fault soak, seed 951328)."""
        crashing_parts.record_success(["common"])
        for number in range(6):
            parts = ["common", "bad"] if number % 2 else ["common"]
            crash(crashing_parts, clock, f"s-{number}", *parts)
        for number in range(6, 9):
            crash(crashing_parts, clock, f"s-{number}", "common")
        assert "bad" in crashing_parts.refused

    def test_two_parts_with_crashes_of_their_own_are_both_refused(
        self, crashing_parts, clock
    ):
        """Guards against a second crashing part that the first one hides."""
        for number in range(CRASHES_ALLOWED):
            crash(crashing_parts, clock, f"a-{number}", "bad", "system")
            crash(crashing_parts, clock, f"b-{number}", "worse", "system")
            crashing_parts.record_success(["system"])
        assert crashing_parts.refused == {"bad", "worse"}

    def test_order_of_reports_does_not_matter(self, clock):
        """Guards against routers that refuse different parts by the same evidence."""
        crashes = [
            PartCrash(part, f"s-{number}", number * 2 * TOGETHER_MS)
            for number in range(4)
            for part in ("bad", "beside")[: 1 + (number > 0)]
        ]
        one, other = CrashingParts(clock), CrashingParts(clock)
        for each in crashes:
            one.add_crash(each)
        for each in reversed(crashes):
            other.add_crash(each)
        assert one.refused == other.refused == {"bad"}


class TestMemory:
    def test_a_part_is_refused_while_requests_with_it_come(self, crashing_parts, clock):
        """Guards against forgetting a part that is still asked for."""
        refuse(crashing_parts, clock, "bad")
        for _ in range(10):
            clock.advance(RETENTION_MS - 1)
            assert crashing_parts.find_held(["bad"])
            crashing_parts.expire()
        assert crashing_parts.refused == {"bad"}

    def test_a_part_that_no_request_has_is_forgotten(self, crashing_parts, clock):
        """Guards against evidence that is kept forever."""
        refuse(crashing_parts, clock, "bad")
        clock.advance(RETENTION_MS + 1)
        crashing_parts.expire()
        assert not crashing_parts.refused
        assert not crashing_parts.suspects

    def test_memory_is_bounded_and_keeps_the_strongest_evidence(
        self, crashing_parts, clock
    ):
        """Guards against callers that choose many parts to push out evidence."""
        refuse(crashing_parts, clock, "bad")
        for number in range(2 * MAX_SUSPECTS):
            crashing_parts.add_crash(PartCrash(f"part-{number}", "s-9"))
        for number in range(2 * MAX_SUCCESSES):
            crashing_parts.record_success([f"part-{number}"])
        for number in range(2 * MAX_CRASHES_KEPT):
            crash(crashing_parts, clock, f"t-{number}", "bad")
        assert len(crashing_parts.suspects) <= MAX_SUSPECTS
        assert len(crashing_parts.successes) <= MAX_SUCCESSES
        assert len(crashing_parts.suspects["bad"].crashes) <= MAX_CRASHES_KEPT
        assert crashing_parts.refused == {"bad"}

    def test_keys_are_bounded(self):
        """Guards against parts with names of any length in memory and reports."""
        assert part_key("5c1e07a2") == "5c1e07a2"
        long_keys = {part_key("x" * 10_000), part_key("x" * 10_001)}
        assert len(long_keys) == 2
        assert all(len(key) <= MAX_KEY_LENGTH for key in long_keys)


class TestTrials:
    def test_a_part_that_was_blamed_wrongly_is_cleared_by_one_request(
        self, crashing_parts, clock
    ):
        """Guards against a sound part that is refused forever."""
        refuse(crashing_parts, clock, "sound")
        assert not crashing_parts.begin_trial(crashing_parts.find_held(["sound"]), 0)
        clock.advance(FIRST_TRIAL_MS)
        refused = crashing_parts.find_held(["sound"])
        assert crashing_parts.begin_trial(refused, 0)
        assert not crashing_parts.begin_trial(refused, 0)
        assert crashing_parts.record_success(["sound"]) == ["sound"]
        assert not crashing_parts.find_held(["sound"])

    def test_trials_crash_no_more_servers_than_the_platform_allows(
        self, crashing_parts, clock
    ):
        """Guards against trials that are the next requests to crash servers."""
        refuse(crashing_parts, clock, "bad")
        trials = 0
        for _ in range(100):
            clock.advance(FIRST_TRIAL_MS)
            if crashing_parts.begin_trial(crashing_parts.find_held(["bad"]), 0):
                trials += 1
                crash(crashing_parts, clock, f"trial-{trials}", "bad", pause_ms=100)
        assert trials == MAX_CRASHES_BEFORE_TRIAL - MIN_CRASHES + 1
        assert MIN_CRASHES + trials <= CRASHES_ALLOWED

    @pytest.mark.parametrize(
        "answered, expected", [(True, MAX_TRIALS_AFTER_SUCCESS), (False, MAX_TRIALS)]
    )
    def test_a_part_that_was_blamed_for_many_crashes_is_tried(
        self, crashing_parts, clock, answered, expected
    ):
        """Guards against a sound part that is refused forever as it has many crashes
        (fault soak, seed 951328), and against more trials than the platform allows."""
        if answered:
            crashing_parts.record_success(["system"])
        for number in range(2 * CRASHES_ALLOWED):
            crash(crashing_parts, clock, f"s-{number}", "system")
        assert crashing_parts.refused == {"system"}
        trials = 0
        for _ in range(100):
            clock.advance(FIRST_TRIAL_MS)
            held = crashing_parts.find_held(["system"])
            if crashing_parts.begin_trial(held, 0):
                trials += 1
                crash(crashing_parts, clock, f"t-{trials}", "system", pause_ms=100)
        assert trials == expected

    def test_a_request_with_two_refused_parts_tries_none(self, crashing_parts, clock):
        """Guards against a trial that cannot tell which part is sound."""
        for name in ("bad", "worse"):
            for number in range(MIN_CRASHES):
                crash(crashing_parts, clock, f"{name}-{number}", name)
        clock.advance(FIRST_TRIAL_MS)
        refused = crashing_parts.find_held(["bad", "worse"])
        assert not crashing_parts.begin_trial(refused, 0)

    def test_a_router_that_has_just_started_tries_none(self, clock):
        """Guards against a trial by a router that has not heard of the last one."""
        old = CrashingParts(clock)
        refuse(old, clock, "bad")
        clock.advance(10 * FIRST_TRIAL_MS)
        new = CrashingParts(clock)
        for each in old.held_crashes():
            new.add_crash(each)
        assert not new.begin_trial(new.find_held(["bad"]), 0)


class TestProbation:
    def crash_together(self, crashing_parts, clock, *parts):
        for number in range(MIN_CRASHES):
            crash(crashing_parts, clock, f"s-{number}", *parts, pause_ms=100)

    def test_requests_with_a_new_part_run_one_after_the_other(
        self, crashing_parts, clock
    ):
        """Guards against many requests at once on servers that have just started."""
        self.crash_together(crashing_parts, clock, "bad")
        clock.advance(PROBATION_TRIAL_MS)
        held = crashing_parts.find_held(["bad"])
        assert held == ["bad"]
        assert crashing_parts.begin_trial(held, 0)
        assert not crashing_parts.begin_trial(held, 0)
        clock.advance(PROBATION_TRIAL_MS)
        assert crashing_parts.begin_trial(held, 0)

    def test_ends_with_the_first_success(self, crashing_parts, clock):
        """Guards against sound requests that wait after a loss of many servers."""
        self.crash_together(crashing_parts, clock, "sound")
        crashing_parts.record_success(["sound"])
        assert not crashing_parts.find_held(["sound"])

    def test_does_not_hold_parts_that_were_answered_before(self, crashing_parts, clock):
        """Guards against holding a whole route after its servers were killed."""
        crashing_parts.record_success(["system"])
        self.crash_together(crashing_parts, clock, "system")
        assert not crashing_parts.find_held(["system"])

    def test_does_not_hold_parts_whose_crashes_are_explained(
        self, crashing_parts, clock
    ):
        """Guards against holding what ran beside a part that is refused."""
        self.crash_together(crashing_parts, clock, "bad", "beside")
        crash(crashing_parts, clock, "s-8", "bad")
        crash(crashing_parts, clock, "s-9", "bad")
        assert crashing_parts.refused == {"bad"}
        assert not crashing_parts.find_held(["beside"])

    def test_all_parts_on_probation_are_tried_together(self, crashing_parts, clock):
        """Guards against requests that nobody may try, right after the first start."""
        self.crash_together(crashing_parts, clock, "system", "subject")
        clock.advance(PROBATION_TRIAL_MS)
        assert crashing_parts.begin_trial(["system", "subject"], 0)

    def test_routers_try_in_turn(self, crashing_parts, clock):
        """Guards against a part that only a router without such requests may try."""
        self.crash_together(crashing_parts, clock, "bad")
        clock.advance(PROBATION_TRIAL_MS)
        assert not crashing_parts.begin_trial(["bad"], 1)
        clock.advance(TRIAL_DELAY_PER_RANK_MS)
        crashing_parts.record_trial("bad", 100)
        assert not crashing_parts.begin_trial(["bad"], 1)
        clock.advance(PROBATION_TRIAL_MS + TRIAL_DELAY_PER_RANK_MS)
        assert crashing_parts.begin_trial(["bad"], 1)


class TestCostOfJudgement:
    SUSPECTS = 500

    def test_a_crash_under_many_parts_is_judged_once(self, crashing_parts, clock):
        """Guards against a crash that holds the event loop for seconds."""
        parts = [f"p-{number}" for number in range(self.SUSPECTS)]
        for number in range(MIN_CRASHES + 3):
            crash(crashing_parts, clock, f"s-{number}", *parts)
            judged_before = crashing_parts.judgements
            crashing_parts.find_held(parts)
            assert crashing_parts.judgements <= judged_before + 1
        crashing_parts.record_success(parts)
        assert not crashing_parts.refused
        assert crashing_parts.judgements <= judged_before + 2

    def test_parts_of_the_same_crashes_are_compared_as_one(
        self, crashing_parts, clock, monkeypatch
    ):
        """Guards against a comparison of each suspect with each other one."""
        compared = []
        rarity = CrashingParts.rarity
        monkeypatch.setattr(
            CrashingParts,
            "rarity",
            lambda self, part: compared.append(part) or rarity(self, part),
        )
        parts = [f"p-{number}" for number in range(self.SUSPECTS)]
        for number in range(MIN_CRASHES + 3):
            crash(crashing_parts, clock, f"s-{number}", *parts)
        assert len(crashing_parts.refused) == 1
        assert len(compared) <= 4 * self.SUSPECTS

    def test_suspects_are_dropped_in_batches(self, crashing_parts, clock):
        """Guards against a search of all suspects for each one beyond the limit."""
        crash(crashing_parts, clock, "s-0", *(f"p-{n}" for n in range(MAX_SUSPECTS)))
        crash(crashing_parts, clock, "s-1", *(f"q-{n}" for n in range(100)))
        assert crashing_parts.judgements <= 1
        assert len(crashing_parts.suspects) <= MAX_SUSPECTS

    def test_a_prompt_names_a_bounded_number_of_suspects(self):
        """Guards against a caller that names parts to keep routers busy."""
        few = [f"p-{number}" for number in range(MAX_OWN_KEYS)]
        many = [f"p-{number}" for number in range(1_000)]
        assert part_keys(few) == tuple(few)
        assert part_keys(many)[:MAX_OWN_KEYS] == tuple(few)
        assert len(part_keys(many)) <= MAX_OWN_KEYS + SHARED_KEYS
        # A part beyond the bound still has a key by which it is found.
        assert part_keys([*many, "bad"])[MAX_OWN_KEYS:]
        assert set(part_keys([*few, "bad"])[MAX_OWN_KEYS:]) <= set(
            part_keys([*many, "bad"])
        )
