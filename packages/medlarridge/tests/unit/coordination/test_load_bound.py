import pytest

from medlarridge._internal.coordination.load_bound import (
    STALE_AFTER_MS,
    Admitted,
    LoadBound,
    MeanEstimate,
    OverBound,
)


def make_bound(average_work=100.0):
    bound = LoadBound(1.25)
    bound.observe(average_work)
    return bound


class TestLoadBound:
    @pytest.mark.parametrize(
        ("tokens", "weight", "admitted"),
        [(1150, 1.0, True), (1151, 1.0, False), (2400, 2.0, True), (2401, 2.0, False)],
    )
    def test_admits_up_to_the_bound(self, tokens, weight, admitted):
        """Guards against an engine above the bound times the mean."""
        mean = MeanEstimate(mean=1000, age_ms=0)
        verdict = make_bound().admit(tokens / weight, 100, weight, mean)
        assert isinstance(verdict, Admitted) == admitted

    @pytest.mark.parametrize(("alone", "most"), [(False, 125), (True, 1001)])
    def test_an_engine_alone_in_its_pool_is_the_mean(self, alone, most):
        """Guards against refusals that compare an engine with its own past."""
        bound = make_bound(average_work=1.0)
        bound.sole_member = alone
        mean = MeanEstimate(mean=100, age_ms=0, own_load=100)
        loads = [t + 1 for t in range(1001) if admits(bound, t, mean)]
        assert loads == list(range(1, most + 1))

    def test_margin_grows_with_movement_and_sampling_error(self):
        """Guards against overload when the mean has fallen or members are missing."""
        still = make_bound().limit(100, 100, 1.0, MeanEstimate(1000, 0))
        moving = make_bound().limit(100, 100, 1.0, MeanEstimate(1000, 0, spread=200))
        sampled = make_bound().limit(100, 100, 1.0, MeanEstimate(1000, 0, error=20))
        assert moving < still
        assert sampled < still

    @pytest.mark.parametrize("own_load", [300.0, 1100.0])
    def test_stale_mean_allows_no_more_than_the_load_it_was_based_on(self, own_load):
        """Guards against growth on an engine that no longer hears of its pool."""
        mean = MeanEstimate(1000, STALE_AFTER_MS + 1, own_load=own_load)
        bound = make_bound()
        assert isinstance(bound.admit(own_load - 100, 100, 1.0, mean), Admitted)
        assert isinstance(bound.admit(own_load - 99, 100, 1.0, mean), OverBound)

    def test_without_a_mean_only_the_floor_is_admitted(self):
        """Guards against an overloaded engine whose sidecar has just started."""
        bound = make_bound()
        assert isinstance(bound.admit(100, 100, 1.0, None), Admitted)
        assert isinstance(bound.admit(101, 100, 1.0, None), OverBound)
        assert isinstance(bound.admit(0, 5000, 1.0, None), Admitted)
        assert isinstance(bound.admit(1, 5000, 1.0, None), OverBound)

    @pytest.mark.parametrize("requests", range(1, 30))
    def test_an_even_pool_can_always_grow(self, requests):
        """Guards against a pool that is stuck at three requests an engine."""
        own_load = 100.0 * requests
        verdict = make_bound().admit(own_load, 100, 1.0, MeanEstimate(own_load, 0))
        assert isinstance(verdict, Admitted)


def admits(bound, tokens, mean):
    return isinstance(bound.admit(tokens, 1, 1.0, mean), Admitted)
