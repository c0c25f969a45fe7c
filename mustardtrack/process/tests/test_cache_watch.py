"""Guards against a new leader that does not know what engines hold."""

import asyncio
import json

from mustardtrack.process import cache_watch
from mustardtrack.process.cache_watch import CacheWatch


class Placements:
    """Placement table that records what it is told."""

    def __init__(self):
        self.replaced = []
        self.applied = []

    def replace_cache(self, source, held):
        """Record a whole cache."""
        self.replaced.append((source, list(held)))

    def apply_events(self, source, changes):
        """Record single changes."""
        self.applied.append((source, list(changes)))


class Control:
    """Control process as far as the watch needs it."""

    def __init__(self):
        self.placements = Placements()


class Pool:
    """Engine whose early events are lost."""

    def __init__(self, ends_after):
        self.targets = []
        self._ends_after = ends_after

    async def call(self, address, method, target, *rest):
        """Answer one call, and end the task after some."""
        self.targets.append(target)
        if len(self.targets) > self._ends_after:
            raise asyncio.CancelledError
        if target == b"/v1/kv-list":
            held = [["s", "d", 80, "m"]]
            answer = {"boot-epoch": 1, "next-token": 9, "held": held}
        else:
            lost = target.endswith(b"since=0")
            answer = {"boot-epoch": 1, "next-token": 7, "lost": lost, "events": []}
        return 200, json.dumps(answer).encode()


def follow(monkeypatch, calls):
    monkeypatch.setattr(cache_watch, "PAUSE_S", 0.0)
    control = Control()
    watch = CacheWatch(control)
    watch._pool = Pool(calls)

    async def scenario():
        task = asyncio.ensure_future(watch._follow("e1", "10.0.0.1:1"))
        await asyncio.wait([task], timeout=5)

    asyncio.run(scenario())
    return control.placements, watch._pool.targets


def test_whole_cache_is_read_once_after_lost_events(monkeypatch):
    placements, targets = follow(monkeypatch, 4)
    assert placements.replaced == [("e1", [("s", "d", 80)])]
    assert targets[:3] == [
        b"/v1/kv-events?since=0",
        b"/v1/kv-list",
        b"/v1/kv-events?since=9",
    ]
    assert targets.count(b"/v1/kv-list") == 1
