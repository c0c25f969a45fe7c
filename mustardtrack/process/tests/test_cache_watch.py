"""Guards against a new leader that does not know the contents of engine caches.

Engines retain only the newest events, so a new leader misses most of them and has to
read the cache contents.
"""

import asyncio
import json

import pytest

from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.process import cache_watch
from mustardtrack.process.cache_watch import CacheSource, CacheWatch
from mustardtrack.routing.kvstores import KvStores


class RecordingPlacements:
    """Placement table that records its calls."""

    def __init__(self):
        self.replaced = []
        self.applied = []
        self.stores = KvStores()

    def replace_cache(self, source, held):
        """Record the contents of a cache."""
        self.replaced.append((source, list(held)))

    def apply_events(self, source, changes):
        """Record changes of a cache."""
        self.applied.append((source, list(changes)))


class StubControl:
    """Control process with the attributes that the watch uses."""

    def __init__(self):
        self.placements = RecordingPlacements()
        self.metrics = InMemoryMetrics()


class StubPool:
    """Connection pool to an engine whose early events are lost."""

    def __init__(self, ends_after):
        self.targets = []
        self._ends_after = ends_after

    async def call(self, address, method, target, *rest):
        """Answer a call; cancel the task after ``ends_after`` calls."""
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


ENGINE = CacheSource("e1")


def run_watch(monkeypatch, calls, source=ENGINE):
    monkeypatch.setattr(cache_watch, "BATCH_DELAY_S", 0.0)
    control = StubControl()
    watch = CacheWatch(control)
    watch._pool = StubPool(calls)

    async def scenario():
        task = asyncio.ensure_future(watch._follow_events(source, "10.0.0.1:1"))
        await asyncio.wait([task], timeout=5)

    asyncio.run(scenario())
    return control.placements, watch._pool.targets


def test_cache_contents_are_read_once_after_lost_events(monkeypatch):
    placements, targets = run_watch(monkeypatch, 4)
    assert placements.replaced == [("e1", [("s", "d", 80)])]
    assert targets[:3] == [
        b"/v1/kv-events?since=0",
        b"/v1/kv-list",
        b"/v1/kv-events?since=9",
    ]
    assert targets.count(b"/v1/kv-list") == 1


def test_contents_of_a_store_are_kept_by_its_address(monkeypatch):
    """Guards against several stores whose contents are taken for those of one."""
    source = CacheSource("10.0.0.1:1", is_store=True)
    placements, _ = run_watch(monkeypatch, 4, source)
    assert placements.replaced == []
    assert placements.stores.contents("10.0.0.1:1") == {("s", "d"): 80}
    assert placements.stores.contents("10.0.0.2:1") == {}


class BodyPool:
    """Connection pool whose first answers are unreadable."""

    def __init__(self, body):
        self.calls = 0
        self._body = body

    async def call(self, address, method, target, *rest):
        """Answer two calls, then cancel the task."""
        self.calls += 1
        if self.calls > 2:
            raise asyncio.CancelledError
        return 200, self._body


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 200_000,
        b'{"boot-epoch": 1, "next-token": 7, "events": 5}',
        b'{"boot-epoch": 1, "next-token": 1e999, "events": []}',
        b"x" * 1000,
    ],
    ids=["nested", "events of another type", "number", "not JSON"],
)
def test_unreadable_events_do_not_end_the_task(monkeypatch, body):
    """Guards against an engine whose events are never read again."""
    monkeypatch.setattr(cache_watch, "RETRY_DELAY_S", 0.0)
    watch = CacheWatch(StubControl())
    watch._pool = BodyPool(body)
    source = CacheSource("e1")

    async def scenario():
        task = asyncio.ensure_future(watch._follow_events(source, "10.0.0.1:1"))
        await asyncio.wait([task], timeout=5)
        assert task.cancelled()

    asyncio.run(scenario())
    assert watch._pool.calls == 3


def test_few_cache_contents_are_read_at_a_time():
    """Guards against memory filled by many large lists at once."""
    reading = []
    most = 0

    class SlowPool:
        async def call(self, address, *rest):
            nonlocal most
            reading.append(address)
            most = max(most, len(reading))
            await asyncio.sleep(0.01)
            reading.remove(address)
            return 503, b""

    watch = CacheWatch(StubControl())
    watch._pool = SlowPool()

    async def scenario():
        resyncs = (
            watch._resync(CacheSource(f"e{n}"), f"10.0.0.{n}:1", 0) for n in range(10)
        )
        assert await asyncio.gather(*resyncs) == [0] * 10

    asyncio.run(scenario())
    assert most <= cache_watch.MAX_CONCURRENT_SNAPSHOTS
