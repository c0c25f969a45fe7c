"""Guards against requests to endpoints that announced that they want none."""

from mustardtrack.membership.endpoint_list import EndpointList, ListedEndpoint
from mustardtrack.routing import endpointnotices
from mustardtrack.routing.endpointnotices import EndpointNotices
from mustardtrack.routing.endpointstate import EndpointTable


def listed(name="e", address="10.0.0.1:1", started_ms=0, is_draining=False):
    return ListedEndpoint(
        name, started_ms, "s", address, "a", 6, is_draining, False, {"m": 1}
    )


def accepted(table, now_ms=10):
    return [state.id for state in table.accepting_endpoints("s", now_ms)]


def test_leaving_endpoint_is_not_used_whatever_the_list_says():
    """Guards against a list that names a leaving endpoint as ready for seconds."""
    table = EndpointTable()
    table.update(EndpointList(1, 1, (listed("e"), listed("f", "10.0.0.2:1"))))
    table.notices.record_leaving(listed("e"), 0)
    assert accepted(table) == ["f"]
    assert table.withheld_endpoints("s", 10) == {"e"}
    # A new leader lists it again after a list without it.
    table.update(EndpointList(2, 1, ()))
    table.update(EndpointList(2, 2, (listed("e"),)))
    assert accepted(table) == []


def test_endpoint_that_starts_again_or_another_at_its_address_is_used():
    """Guards against keeping a replaced endpoint out of service."""
    table = EndpointTable()
    table.notices.record_leaving(listed("e", started_ms=5), 0)
    table.update(EndpointList(1, 1, (listed("e", started_ms=900),)))
    assert accepted(table) == ["e"]
    table.update(EndpointList(1, 2, (listed("f", started_ms=5),)))
    assert accepted(table) == ["f"]


def test_announcement_is_reported_once_to_each_leader():
    notices, leader = EndpointNotices(), EndpointNotices()
    notices.record_leaving(listed(), 0)
    notices.record_leaving(listed(), 5)
    report = notices.take_leaving_report()
    assert notices.take_leaving_report() == []
    leader.merge_leaving(report, 10)
    assert leader.is_leaving(listed(), 20)
    assert leader.take_leaving_report() == []
    notices.report_again()
    assert notices.take_leaving_report() == report


def test_announcements_are_bounded(monkeypatch):
    """Guards against memory that grows with every replaced endpoint."""
    monkeypatch.setattr(endpointnotices, "MAX_ANNOUNCEMENTS", 3)
    notices = EndpointNotices()
    for number in range(10):
        notices.record_leaving(listed(f"e{number}"), number)
    assert not notices.is_leaving(listed("e0"), 10)
    assert notices.is_leaving(listed("e9"), 10)
    assert len(notices.take_leaving_report()) == 3


def test_pause_ends_with_its_time_and_the_longer_one_counts():
    table = EndpointTable()
    table.update(EndpointList(1, 1, (listed("e"), listed("f", "10.0.0.2:1"))))
    notices = table.notices
    notices.record_pause(listed("e"), 2.0, 0)
    notices.record_pause(listed("e"), 0.5, 100)
    assert accepted(table, 1999) == ["f"]
    assert accepted(table, 2000) == ["e", "f"]
    notices.record_pause(listed("e"), 1.0, 3000)
    notices.record_pause(listed("e"), 5.0, 3500)
    assert (accepted(table, 8499), accepted(table, 8500)) == (["f"], ["e", "f"])


def test_first_end_of_a_pause_is_known():
    """Guards against callers that return before an endpoint can take them."""
    table = EndpointTable()
    other = listed("f", "10.0.0.2:1")
    table.update(EndpointList(1, 1, (listed("e"), other)))
    assert table.pause_ms("s", 0) is None
    table.notices.record_pause(listed("e"), 3.0, 0)
    table.notices.record_pause(other, 2.0, 0)
    assert table.pause_ms("s", 500) == 1500
    table.notices.record_leaving(other, 600)
    assert table.pause_ms("s", 600) == 2400


def test_pauses_are_bounded(monkeypatch):
    """Guards against one answer that keeps an endpoint out of service for good."""
    notices = EndpointNotices()
    notices.record_pause(listed(), 1e12, 0)
    assert notices.pause_ms(listed(), 0) == endpointnotices.MAX_PAUSE_MS
    monkeypatch.setattr(endpointnotices, "MAX_ANNOUNCEMENTS", 3)
    for number in range(10):
        notices.record_pause(listed(f"e{number}"), 5.0, number)
    assert notices.accepts(listed("e0"), 10)
    assert not notices.accepts(listed("e9"), 10)
