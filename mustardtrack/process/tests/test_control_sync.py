"""Guards against a router that hears nothing more from a control host."""

import asyncio
from types import SimpleNamespace

import pytest

from mustardtrack.process import control_sync
from mustardtrack.process.control_sync import ControlSync


class StandInBus:
    """Bus whose peers answer bytes that cannot be decoded."""

    def __init__(self):
        self.requests = 0

    async def request(self, name, topic, body, timeout_ms):
        """Return unreadable bytes."""
        self.requests += 1
        await asyncio.sleep(0)
        return b"\xff"


@pytest.fixture
def sync():
    settings = SimpleNamespace(
        name="r",
        zone="a",
        bounds=SimpleNamespace(revoke_ms=5000, weights_ms=15_000),
        listen=SimpleNamespace(callers="10.0.0.1:1"),
        timing=SimpleNamespace(sync_hold_ms=0, sync_timeout_ms=500),
        seed_bus_addresses=lambda: ["c1"],
    )
    clock = SimpleNamespace(now_ms=lambda: 0)
    return ControlSync(settings, StandInBus(), clock, lambda: True, id, id)


def test_unreadable_reply_does_not_end_the_task(sync, monkeypatch):
    monkeypatch.setattr(control_sync, "FAILED_SYNC_DELAY_S", 0.01)

    async def run():
        sync._start_sync(["c1"])
        await asyncio.sleep(0.1)
        assert not sync._sync_tasks["c1"].done()
        await sync.stop()

    asyncio.run(run())
    assert sync._bus.requests > 2


def test_planned_stop_goes_on_after_an_unreadable_reply(sync):
    async def run():
        sync._sync_tasks["c1"] = asyncio.ensure_future(asyncio.sleep(0))
        await sync.sync_now()

    asyncio.run(run())
