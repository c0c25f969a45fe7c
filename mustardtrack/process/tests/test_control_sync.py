"""Guards against a router that hears nothing more from a control host."""

import asyncio
from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.ports.sync_messages import UNCONFIRMED_STALE_MS, SyncReply
from mustardtrack.process import control_sync
from mustardtrack.process.control_sync import ControlSync
from mustardtrack.routing.pacemessages import PaceShare


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
        bounds=SimpleNamespace(revoke_ms=5000, weights_ms=15_000, adaptive_start=False),
        bootstrap=False,
        retries=SimpleNamespace(window_s=10.0),
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


def make_reply(refused, stale_ms):
    return SyncReply(stale_ms, 0, 0, b"", {}, None, [], 1, leader="c1", refused=refused)


def test_refusals_end_only_by_a_leader_that_has_applied_all(sync):
    """Guards against a new leader that has not read its log yet."""

    async def run():
        sync._sync_tasks["c1"] = asyncio.ensure_future(asyncio.sleep(0))
        for refused, stale_ms in ((["f"], 0), ([], UNCONFIRMED_STALE_MS)):
            sync._apply_reply("c1", make_reply(refused, stale_ms), 1)
        assert sync.view.refused == {"f"}
        sync._apply_reply("c1", make_reply([], 0), 2)
        assert sync.view.refused == set()

    asyncio.run(run())


def test_shares_of_paced_endpoints_come_from_a_confirmed_leader_only(sync):
    """Guards against a former leader that lifts the limits of a broken endpoint."""
    endpoint = ListedEndpoint("e", 1, "s", "e:1", "a", 6, False, False, {})
    share = {"e": PaceShare(1, 2.0, 1)}

    async def run():
        sync._sync_tasks["c1"] = asyncio.ensure_future(asyncio.sleep(0))
        for shares, stale_ms in ((share, 0), ({}, UNCONFIRMED_STALE_MS)):
            reply = replace(make_reply([], stale_ms), pace_shares=shares)
            sync._apply_reply("c1", reply, 1)
        assert sync.view.pace.is_paced(endpoint)
        sync._apply_reply("c1", make_reply([], 0), 2)
        assert not sync.view.pace.is_paced(endpoint)

    asyncio.run(run())
