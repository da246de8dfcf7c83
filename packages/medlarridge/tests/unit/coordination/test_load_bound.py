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
        """Guards against admitting load above the bound times the mean."""
        mean = MeanEstimate(mean=1000, age_ms=0)
        admission = make_bound().admit(tokens / weight, 100, weight, mean)
        assert isinstance(admission, Admitted) == admitted

    @pytest.mark.parametrize(("sole_member", "max_load"), [(False, 125), (True, 1001)])
    def test_sole_member_is_not_limited_by_its_own_mean(self, sole_member, max_load):
        """Guards against refusals that compare an engine with its own past load."""
        bound = make_bound(average_work=1.0)
        bound.sole_member = sole_member
        mean = MeanEstimate(mean=100, age_ms=0, own_load=100)
        loads = [t + 1 for t in range(1001) if admits(bound, t, mean)]
        assert loads == list(range(1, max_load + 1))

    def test_margin_grows_with_spread_and_sampling_error(self):
        """Guards against overload when the mean has fallen or members are missing."""
        steady = make_bound().limit(100, 100, 1.0, MeanEstimate(1000, 0))
        changing = make_bound().limit(100, 100, 1.0, MeanEstimate(1000, 0, spread=200))
        sampled = make_bound().limit(100, 100, 1.0, MeanEstimate(1000, 0, error=20))
        assert changing < steady
        assert sampled < steady

    @pytest.mark.parametrize("own_load", [300.0, 1100.0])
    def test_stale_mean_allows_no_more_than_the_load_at_its_time(self, own_load):
        """Guards against load growth on an engine that gets no mean any more."""
        mean = MeanEstimate(1000, STALE_AFTER_MS + 1, own_load=own_load)
        bound = make_bound()
        assert isinstance(bound.admit(own_load - 100, 100, 1.0, mean), Admitted)
        assert isinstance(bound.admit(own_load - 99, 100, 1.0, mean), OverBound)

    def test_without_a_mean_only_the_floor_is_admitted(self):
        """Guards against overloading an engine whose sidecar has just started."""
        bound = make_bound()
        assert isinstance(bound.admit(100, 100, 1.0, None), Admitted)
        assert isinstance(bound.admit(101, 100, 1.0, None), OverBound)
        assert isinstance(bound.admit(0, 5000, 1.0, None), Admitted)
        assert isinstance(bound.admit(1, 5000, 1.0, None), OverBound)

    @pytest.mark.parametrize("requests", range(1, 30))
    def test_an_even_pool_can_always_grow(self, requests):
        """Guards against a pool that never exceeds three requests per engine."""
        own_load = 100.0 * requests
        admission = make_bound().admit(own_load, 100, 1.0, MeanEstimate(own_load, 0))
        assert isinstance(admission, Admitted)


def admits(bound, tokens, mean):
    return isinstance(bound.admit(tokens, 1, 1.0, mean), Admitted)
