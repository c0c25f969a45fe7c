"""Guards against directing callers to routers that do not serve requests."""

from mustardtrack.membership.directory import (
    MAX_ADDRESSES,
    RouterDirectory,
    RouterEntry,
)


def fill(directory, name, zone, ready=True, seen_ms=0):
    entry = RouterEntry(name, zone, f"10.0.0.1:{name}", ready, seen_ms)
    directory.report(entry)


def test_stopping_router_is_excluded_immediately():
    directory = RouterDirectory(1000)
    fill(directory, "1", "a")
    fill(directory, "1", "a", ready=False)
    assert directory.choose("a", 10) == []


def test_caller_gets_only_its_zone_while_two_routers_are_live_there():
    directory = RouterDirectory(1000)
    fill(directory, "1", "a")
    fill(directory, "2", "a")
    fill(directory, "3", "b")
    assert directory.choose("a", 10) == ["10.0.0.1:1", "10.0.0.1:2"]
    assert len(directory.choose("b", 10)) == 3
    assert len(directory.choose("unknown", 10)) == 3


def test_router_without_reports_is_excluded_after_its_lease():
    directory = RouterDirectory(1000)
    fill(directory, "1", "a", seen_ms=0)
    fill(directory, "2", "a", seen_ms=900)
    assert directory.choose("a", 1100) == ["10.0.0.1:2"]


def test_number_of_returned_addresses_is_limited():
    directory = RouterDirectory(1000)
    for number in range(100):
        fill(directory, str(number), "a")
    assert len(directory.choose("a", 10)) == MAX_ADDRESSES
