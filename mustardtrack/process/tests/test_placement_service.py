"""Guards against allotments that the leader counts twice."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.admission.allotments import Allotment
from mustardtrack.ports.sync_messages import PromptProgress
from mustardtrack.process.placement_service import PlacementService
from mustardtrack.routing.placementmessages import (
    AllotmentRequest,
    Placement,
    PlacementRequest,
)
from mustardtrack.settings.seeded import Bounds

HOTEL = Allotment(rate_per_s=1.0, burst=2.0)


class FakePlacements:
    """Fake placements of a leader with one engine, or with none."""

    def __init__(self):
        self.limits = self.notices = self.pace = self.contention = self
        self.endpoint = "e"

    def place(self, *arguments):
        """Return the engine."""
        return Placement(endpoint=self.endpoint, is_authoritative=True)

    def record(self, *arguments):
        """Accept what routers report."""

    record_prefilled = record_end = record_unreachable = record_refusal = record
    merge = merge_leaving = record_loads = record
    begin_term = record_reports = enable = record


@pytest.fixture
def control():
    table = SimpleNamespace(
        allotments={"hotel": HOTEL}, services={"s": None}, shares_capacity=True
    )
    table.services["s"] = SimpleNamespace(name="s")
    control = SimpleNamespace(
        placements=FakePlacements(),
        now=0,
        directory=SimpleNamespace(count_seen=lambda since_ms: 1),
        document_store=SimpleNamespace(weights={}),
        metrics=InMemoryMetrics(),
    )
    control.now_ms = lambda: control.now
    control.is_leader = lambda: True
    control.term = lambda: 1
    control.route_table = lambda: table
    control.usable_stores = list
    return control


@pytest.fixture
def service(control):
    bounds = Bounds(allotment_window_s=8.0)
    service = PlacementService(control, bounds)
    place(service, "first")
    control.now = 10_000  # The bucket holds its burst of 2.
    return service


def allot(service, count_id):
    body = msgspec.msgpack.encode(AllotmentRequest("hotel", 1, count_id))
    return msgspec.msgpack.decode(asyncio.run(service.allot("r", body)))


def place(service, count_id):
    request = PlacementRequest(
        "r", "s", "m", [], "", 1, 1, 0, 1000, 5000, "a", [], "r", "hotel", 1, count_id
    )
    body = msgspec.msgpack.encode(request)
    answer = asyncio.run(service.place("r", body))
    return msgspec.msgpack.decode(answer, type=Placement).allotment_wait_ms


def withdraw(service, count_id):
    service.record_progress(PromptProgress([], [], [], withdrawn_counts=[count_id]))


def test_prompt_whose_engine_the_router_does_not_know_is_counted_once(service):
    """Guards against a count with the placement and another one without it."""
    assert [place(service, "a"), allot(service, "a"), allot(service, "b")] == [0, 0, 0]
    assert allot(service, "c") > 0


def test_count_whose_answer_was_lost_is_given_back_once(service):
    """Guards against a request that the leader and the share of a router count."""
    assert [place(service, "a"), allot(service, "b")] == [0, 0]
    withdraw(service, "a")
    withdraw(service, "a")
    assert allot(service, "c") == 0
    assert allot(service, "d") > 0


def test_count_that_arrives_after_its_withdrawal_is_ignored(service):
    withdraw(service, "a")
    assert [allot(service, "a"), allot(service, "b"), allot(service, "c")] == [0, 0, 0]
    assert allot(service, "d") > 0


def test_prompt_without_an_engine_is_given_back(service, control):
    """Guards against later attempts of it that are not counted."""
    control.placements.endpoint = ""
    assert [place(service, "a") for _ in range(5)] == [0] * 5
    control.placements.endpoint = "e"
    assert [place(service, "a"), place(service, "b")] == [0, 0]
    assert place(service, "c") > 0


def test_memory_for_counts_is_bounded_in_time(service, control):
    """Guards against counts that are kept for the life of the process."""
    assert allot(service, "a") == 0
    control.now += 5000
    assert [allot(service, "a"), allot(service, "b")] == [0, 0]
    assert allot(service, "c") > 0
