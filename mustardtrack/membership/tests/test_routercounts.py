"""Guards against limits that are divided among too few routers."""

from mustardtrack.membership.directory import RouterDirectory, RouterEntry
from mustardtrack.membership.routercounts import (
    REPORT_LIFETIME_MS,
    RouterCounts,
    RouterNumbers,
)

LATER_MS = 100_000


def report(directory, name, seen_ms, is_ready=True):
    directory.report(RouterEntry(name, "a", name, is_ready, seen_ms))


def test_stopping_router_counts_until_it_has_ended():
    """Guards against connections of a router that still works on requests."""
    directory = RouterDirectory(1000, 5000)
    report(directory, "1", 0)
    report(directory, "2", 0, is_ready=False)
    assert directory.count(500) == RouterNumbers(alive=2, recent=2)
    assert directory.count(1000) == RouterNumbers(alive=0, recent=2)
    assert directory.count(5000) == RouterNumbers(alive=0, recent=0)


def test_control_host_that_has_started_does_not_know_all_recent_routers():
    directory = RouterDirectory(1000, 5000, complete_from_ms=5000)
    report(directory, "1", 4900)
    assert directory.count(4999).recent == 0
    assert directory.count(5000).recent == 1


def test_largest_current_number_counts():
    """Guards against a control host that was cut off from other routers."""
    counts = RouterCounts(0, 0)
    counts.record("c1", RouterNumbers(5, 5), LATER_MS)
    counts.record("c2", RouterNumbers(1, 2), LATER_MS + REPORT_LIFETIME_MS - 1)
    now_ms = LATER_MS + REPORT_LIFETIME_MS
    assert (counts.alive, counts.retry_sharers(now_ms)) == (5, 5)
    counts.record("c2", RouterNumbers(1, 2), now_ms)
    assert (counts.alive, counts.retry_sharers(now_ms)) == (1, 2)


def test_number_of_sharers_outlasts_a_restart_of_all_control_hosts():
    counts = RouterCounts(0, 0)
    counts.record("c1", RouterNumbers(5, 5), LATER_MS)
    now_ms = LATER_MS + 2 * REPORT_LIFETIME_MS
    counts.record("c1", RouterNumbers(1, 0), now_ms)
    assert counts.retry_sharers(now_ms) == 5
