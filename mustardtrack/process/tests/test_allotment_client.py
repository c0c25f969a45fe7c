"""Guards against requests that routers count twice, or not at all."""

import asyncio
from types import SimpleNamespace

from mustardtrack.admission.allotments import Allotment
from mustardtrack.process.allotment_client import AllotmentClient
from mustardtrack.settings.seeded import Bounds

HOTEL = SimpleNamespace(name="hotel", allotment=Allotment(100.0, 0.0))


class FakePlacements:
    """Fake client of a leader that does not answer."""

    async def ask_leader(self, topic, body, request_id):
        """Return no answer, as after a time-out."""
        return None


def make_admitted(amount=1):
    return SimpleNamespace(
        allotment_amount=amount, is_counted=False, account=HOTEL, request_id="r"
    )


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
