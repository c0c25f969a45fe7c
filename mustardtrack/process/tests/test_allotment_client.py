"""Guards against requests that routers count twice, or not at all."""

import asyncio
from types import SimpleNamespace

import msgspec

from mustardtrack.admission.allotments import Allotment
from mustardtrack.process.allotment_client import AllotmentClient
from mustardtrack.process.attempt_state import AdmittedRequest
from mustardtrack.routing.placementmessages import AllotmentRequest
from mustardtrack.settings.seeded import Bounds

HOTEL = SimpleNamespace(name="hotel", allotment=Allotment(100.0, 0.0))


class FakePlacements:
    """Fake client of a leader that does not answer."""

    def __init__(self):
        self.asked = []

    async def ask_leader(self, topic, body, request_id):
        """Return no answer, as after a time-out."""
        self.asked.append(msgspec.msgpack.decode(body, type=AllotmentRequest))


def make_admitted(amount=1):
    admitted = SimpleNamespace(
        allotment_amount=amount,
        is_counted=False,
        account=HOTEL,
        request_id="r",
        count_id="",
    )
    admitted.begin_count = lambda: AdmittedRequest.begin_count(admitted)
    return admitted


def make_client(now_ms, heard_ms, placements):
    view = SimpleNamespace(router_count=2, leader_heard_ms=heard_ms)
    clock = SimpleNamespace(now_ms=lambda: now_ms)
    sync = SimpleNamespace(view=view)
    bounds = Bounds(allotment_window_s=8.0)
    return AllotmentClient(bounds, sync, placements, clock)


def test_share_of_a_new_router_begins_with_its_start():
    """Guards against a share that grew while the router did not exist yet."""
    client = make_client(1_000_000, 0, FakePlacements())
    refusal = asyncio.run(client.count(make_admitted(), None))
    assert refusal is not None and refusal.reason == "allotment"


def test_count_without_an_answer_is_withdrawn_once():
    """Guards against a request that the leader and the share count both."""
    placements = FakePlacements()
    client, admitted = make_client(0, 0, placements), make_admitted()
    asyncio.run(client.count(admitted, None))
    assert placements.take_withdrawn_counts() == [placements.asked[0].count_id] != [""]
    client.give_back(admitted)
    assert placements.take_withdrawn_counts() == []


def test_request_that_ends_while_it_is_counted_is_withdrawn():
    """Guards against a count that is lost with its caller."""
    placements = FakePlacements()
    client, admitted = make_client(0, 0, placements), make_admitted()
    count_id = admitted.begin_count()
    client.give_back(admitted)
    assert placements.take_withdrawn_counts() == [count_id]
    assert placements.take_allotment_usage() == {}
