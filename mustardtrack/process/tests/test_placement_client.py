"""Guards against silent prompts that are judged without the leader."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from mustardtrack.adapters.metrics import CounterTable
from mustardtrack.adapters.zeromq import BusTimeoutError
from mustardtrack.process.placement_client import PlacementClient
from mustardtrack.routing.placements import Placement, PlacementRequest

REQUEST = PlacementRequest(
    "r", "s", "m", [("o", 100), ("p", 10)], "", 110, 10, 0, 1000, 5000, "a", []
)


class Leader:
    """Bus to a leader that places prompts and judges their silence."""

    def __init__(self, is_queued):
        self._is_queued = is_queued

    async def request(self, peer, method, body, timeout_ms):
        """Answer as the leader does."""
        if method == "place":
            return msgspec.msgpack.encode(Placement(endpoint="e"))
        assert (method, msgspec.msgpack.decode(body)) == ("queued", "r")
        if self._is_queued is None:
            raise BusTimeoutError("no answer")
        return msgspec.msgpack.encode(self._is_queued)


def make_client(is_queued, leader="core-1"):
    links = SimpleNamespace(view=SimpleNamespace(leader=leader))
    return PlacementClient(Leader(is_queued), links, CounterTable())


@pytest.mark.parametrize(
    ("answer", "expected"), [(True, True), (False, False), (None, False)]
)
def test_leader_judges_the_silence_of_a_placed_prompt(answer, expected):
    """Without an answer the prompt counts as lost, so that it is tried elsewhere."""

    async def judge():
        client = make_client(answer)
        await client.ask(REQUEST)
        return await client.is_queued("r")

    assert asyncio.run(judge()) is expected


def test_prompt_that_the_router_placed_alone_is_not_asked_for():
    assert asyncio.run(make_client(True).is_queued("r")) is False
    assert asyncio.run(make_client(True, leader="").is_queued("r")) is False
