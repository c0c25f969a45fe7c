"""Guards against limits that a router without processor time notices too late.

Load pattern: a router with an eighth of a core and several times the requests that it
can forward; each turn of its event loop takes hundreds of milliseconds.
"""

import pytest

from mustardtrack.admission.schedulinglag import (
    LAG_WINDOW_MS,
    SchedulingLag,
    shorten_limit,
)

ALLOWED_LATENESS_MS = 500


@pytest.mark.parametrize("lag_ms", [0, 50, 125, 300, 500, 800, 3000])
@pytest.mark.parametrize("limit_ms", [400, 800, 1500, 6000, 12_000])
def test_request_is_ended_or_refused_within_its_limit(limit_ms, lag_ms):
    """The request is read up to ``lag_ms`` late and its end noticed as late."""
    shortened_ms = shorten_limit(limit_ms, lag_ms)
    if shortened_ms > 0:
        assert lag_ms + shortened_ms + lag_ms <= limit_ms + ALLOWED_LATENESS_MS


@pytest.mark.parametrize("lag_ms", [0, 20, 125])
def test_limits_stay_as_they_are_while_the_delay_does_no_harm(lag_ms):
    assert shorten_limit(400, lag_ms) == 400


def test_single_pause_does_not_refuse_later_requests():
    """Guards against refusals after a freeze, when requests are read in time again."""
    lag = SchedulingLag()
    lag.record(4000, 0)
    for now_ms in range(50, 500, 50):
        lag.record(1, now_ms)
    assert lag.value_ms(500) == 1


def test_sustained_delay_counts_until_it_ends():
    lag = SchedulingLag()
    for now_ms in range(0, 10_000, 600):
        lag.record(550, now_ms)
    assert lag.value_ms(10_000) == 550
    assert lag.value_ms(10_000 + LAG_WINDOW_MS) == 0


def test_measurements_are_forgotten():
    """Guards against memory that grows with the time of the process."""
    lag = SchedulingLag()
    for now_ms in range(0, 1_000_000, 50):
        lag.record(1, now_ms)
    assert len(lag._delays) <= LAG_WINDOW_MS // 50 + 1
