"""Guards against moving a stalled prompt without asking the leader."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.adapters.zeromq import BusTimeoutError
from mustardtrack.process.placement_client import PlacementClient
from mustardtrack.routing.placementmessages import Placement, PlacementRequest

REQUEST = PlacementRequest(
    "r", "s", "m", [("o", 100), ("p", 10)], "", 110, 10, 0, 1000, 5000, "a", []
)


class FakeLeaderBus:
    """Fake bus to a leader that places prompts and reports whether they are queued."""

    def __init__(self, is_queued):
        self._is_queued = is_queued

    async def request(self, peer, method, body, timeout_ms):
        """Return the answer of the leader."""
        if method == "place":
            return msgspec.msgpack.encode(Placement(endpoint="e"))
        assert (method, msgspec.msgpack.decode(body)) == ("queued", "r")
        if self._is_queued is None:
            raise BusTimeoutError("no answer")
        return msgspec.msgpack.encode(self._is_queued)


def make_client(is_queued, leader="core-1"):
    control_sync = SimpleNamespace(view=SimpleNamespace(leader=leader))
    clock = SimpleNamespace(now_ms=lambda: 0)
    bus = FakeLeaderBus(is_queued)
    return PlacementClient(bus, control_sync, InMemoryMetrics(), clock)


@pytest.mark.parametrize(
    ("answer", "expected"), [(True, True), (False, False), (None, False)]
)
def test_leader_reports_whether_a_placed_prompt_is_queued(answer, expected):
    """Without an answer, the prompt is not queued, so that it is retried elsewhere."""

    async def ask_leader():
        client = make_client(answer)
        await client.request_placement(REQUEST)
        return await client.is_queued("r")

    assert asyncio.run(ask_leader()) is expected


def test_leader_is_not_asked_about_locally_placed_prompt():
    assert asyncio.run(make_client(True).is_queued("r")) is False
    assert asyncio.run(make_client(True, leader="").is_queued("r")) is False
