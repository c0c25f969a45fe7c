"""Guards against retries that amplify a partial outage."""

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.admission import RetryBudget
from mustardtrack.admission.retries import MAX_BALANCE

ENDPOINTS = st.sampled_from(["engine-1", "engine-2", "engine-3"])


@given(st.lists(st.tuples(ENDPOINTS, st.integers(0, 5)), max_size=400))
def test_retries_stay_within_their_fraction_for_router_and_endpoint(attempts):
    """Every first attempt fails and is retried as often as the budget allows."""
    budget = RetryBudget()
    firsts, retries = {}, {}
    for endpoint, wanted in attempts:
        budget.first_attempt(endpoint)
        firsts[endpoint] = firsts.get(endpoint, 0) + 1
        for _ in range(wanted):
            allowed = budget.allow_retry(endpoint, "timeout")
            retries[endpoint] = retries.get(endpoint, 0) + allowed
    total = sum(retries.values())
    assert total <= 0.1 * sum(firsts.values()) + MAX_BALANCE
    for endpoint, count in retries.items():
        assert count <= 0.1 * firsts[endpoint] + MAX_BALANCE


def test_long_partial_outage_uses_the_whole_fraction_and_no_more():
    budget = RetryBudget()
    retries = 0
    for _ in range(10_000):
        budget.first_attempt("engine-1")
        retries += budget.allow_retry("engine-1", "timeout")
    assert 900 <= retries <= 1000 + MAX_BALANCE
