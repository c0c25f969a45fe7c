"""Guards against a stopping router that accepts requests which it must cut."""

import pytest

from mustardtrack.requests.shutdown_window import ShutdownWindow

BEGAN_MS = 500_000
WINDOW = ShutdownWindow(began_ms=BEGAN_MS, withdrawal_ms=2000, limit_ms=7200)


@pytest.mark.parametrize(
    ("elapsed_ms", "time_limit_ms", "is_accepted"),
    [
        (0, 60_000, True),
        (1999, 60_000, True),
        (2000, 60_000, False),
        (2000, 5199, True),
        (2000, 5200, False),
        (7100, 99, True),
        (7100, 100, False),
        (7200, 0, False),
        (7900, 1, False),
    ],
)
def test_late_request_is_accepted_only_if_it_ends_before_the_limit(
    elapsed_ms, time_limit_ms, is_accepted
):
    now_ms = BEGAN_MS + elapsed_ms
    assert WINDOW.accepts(now_ms, now_ms + time_limit_ms) is is_accepted


def test_no_request_is_accepted_after_a_limit_shorter_than_the_withdrawal():
    """Guards against requests accepted by a router whose connections are closed."""
    window = ShutdownWindow(began_ms=0, withdrawal_ms=2000, limit_ms=1000)
    assert window.accepts(999, 60_000)
    assert not window.accepts(1000, 60_000)
    assert window.is_over(1000)


def test_window_that_is_ended_early_accepts_no_request():
    """Guards against requests accepted while a second signal ends the process."""
    ended = WINDOW.ended_at(BEGAN_MS + 500)
    assert ended.is_over(BEGAN_MS + 500)
    assert not ended.accepts(BEGAN_MS + 500, BEGAN_MS + 600)
    assert WINDOW.ended_at(BEGAN_MS + 9000) == WINDOW
