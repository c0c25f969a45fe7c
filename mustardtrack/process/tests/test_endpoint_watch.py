"""Guards against a leader that is occupied or stopped by the platform's list."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.process import endpoint_watch
from mustardtrack.process.endpoint_watch import EndpointWatch
from mustardtrack.routing.placements import PlacementTable
from mustardtrack.routing.rollout import WeightsOrder
from mustardtrack.settings.seeded import Bounds

PAGE_ENTRIES = 50


def encode_page(number, next_token):
    entries = [
        {
            "id": f"e{number}-{index}",
            "service": "s",
            "address": "10.0.0.1:1",
            "zone": "a",
            "slots": 1,
            "state": "ready",
        }
        for index in range(PAGE_ENTRIES)
    ]
    return json.dumps({"instances": entries, "next-token": next_token}).encode()


class StubPool:
    """Connection pool whose answers are made by a function of the call number."""

    def __init__(self, make_body, delay_s=0.0):
        self.calls = 0
        self._make_body = make_body
        self._delay_s = delay_s

    async def call(self, *arguments):
        """Answer a call."""
        await asyncio.sleep(self._delay_s)
        self.calls += 1
        return 200, self._make_body(self.calls)


def read_list(pool):
    settings = SimpleNamespace(bounds=Bounds(weights_ms=1000), host_list="10.0.0.1:1")
    control = SimpleNamespace(now_ms=lambda: 0, placements=PlacementTable(1000))
    watch = EndpointWatch(control, settings)
    watch._pool = pool
    asyncio.run(watch._read_list())
    return watch


def test_list_of_many_pages_is_whole():
    pool = StubPool(lambda n: encode_page(n, f"p-{n}" if n < 40 else None))
    watch = read_list(pool)
    assert watch._has_list
    assert len(watch._platform_entries) == 40 * PAGE_ENTRIES


ENDLESS_LISTS = {
    "new tokens": lambda number: encode_page(number, f"p-{number}"),
    "same token": lambda number: encode_page(number, "p-1"),
    "empty pages": lambda number: b'{"instances": [], "next-token": "p-%d"}' % number,
}


@pytest.mark.parametrize("kind", ENDLESS_LISTS)
def test_list_without_end_is_not_adopted(kind):
    """Guards against memory filled by a list, and a part adopted as the whole."""
    pool = StubPool(ENDLESS_LISTS[kind])
    watch = read_list(pool)
    assert not watch._has_list
    most_calls = {
        "new tokens": endpoint_watch.MAX_LISTED_ENDPOINTS // PAGE_ENTRIES + 1,
        "same token": 2,
        "empty pages": endpoint_watch.MAX_LIST_PAGES,
    }
    assert pool.calls <= most_calls[kind]


LONG_TOKEN = "t" * 4_000_000
LARGE_LISTS = {
    "long tokens": lambda number: encode_page(number, f"{number}{LONG_TOKEN}"),
    "long names": lambda number: encode_page(number, f"p-{number}").replace(
        b'"service": "s"', b'"service": "' + b"s" * 80_000 + b'"'
    ),
}


@pytest.mark.parametrize("kind", LARGE_LISTS)
def test_list_of_large_pages_takes_bounded_memory(kind):
    """Guards against memory filled by a list of few entries and large pages."""
    pool = StubPool(LARGE_LISTS[kind])
    watch = read_list(pool)
    assert not watch._has_list
    assert pool.calls <= endpoint_watch.MAX_LIST_BYTES // 4_000_000 + 1


def test_answers_of_engines_are_small():
    """Guards against memory filled by the reports of many engines."""
    limits = []

    class RecordingPool:
        async def call(self, *arguments):
            limits.append(arguments[8])
            return 200, b"{}"

    settings = SimpleNamespace(bounds=Bounds(weights_ms=1000), host_list="10.0.0.1:1")
    watch = EndpointWatch(
        SimpleNamespace(now_ms=lambda: 0, placements=PlacementTable(1000)), settings
    )
    watch._pool = RecordingPool()
    endpoint = ListedEndpoint("e", 0, "s", "10.0.0.2:1", "a", 8, False, False, {"m": 1})
    asyncio.run(watch.read_report(endpoint))
    asyncio.run(watch.send_order(WeightsOrder(endpoint, "m", 2), b"{}", 1))
    assert limits == [65_536, 65_536]


def test_slow_list_without_end_takes_bounded_time(monkeypatch):
    """Guards against a leader that publishes nothing while it reads a list."""
    monkeypatch.setattr(endpoint_watch, "LIST_TIMEOUT_S", 0.2)
    pool = StubPool(ENDLESS_LISTS["new tokens"], delay_s=0.02)
    watch = read_list(pool)
    assert not watch._has_list
    assert pool.calls <= 10


@pytest.mark.parametrize("body", [b"[" * 200_000, b'{"instances":' * 50_000, b"\xff"])
def test_unreadable_list_does_not_end_the_task(body):
    """Guards against a control process that ends because of bytes of the platform."""
    assert not read_list(StubPool(lambda number: body))._has_list


class EngineReports:
    """Connection pool of one engine that reports new weights after some time."""

    def __init__(self, load_s):
        self.calls = 0
        self._load_s = load_s
        self._start_s = asyncio.get_running_loop().time()

    async def call(self, *arguments):
        """Answer a call for a report."""
        self.calls += 1
        elapsed_s = asyncio.get_running_loop().time() - self._start_s
        version = 2 if elapsed_s >= self._load_s else 1
        models = [{"name": "m", "version": version}]
        return 200, json.dumps({"models": models}).encode()


def test_short_load_is_noticed_before_it_has_lasted_several_times_as_long():
    """Guards against engines that are kept out of service after a short load."""
    load_s = 0.3

    async def measure():
        settings = SimpleNamespace(
            bounds=Bounds(weights_ms=6000), host_list="10.0.0.1:1"
        )
        control = SimpleNamespace(
            is_leader=lambda: True,
            now_ms=lambda: 0,
            term=lambda: 0,
            placements=PlacementTable(6000),
        )
        watch = EndpointWatch(control, settings)
        watch._pool = EngineReports(load_s)
        endpoint = ListedEndpoint(
            "e", 0, "s", "10.0.0.1:1", "a", 8, False, False, {"m": 1}
        )
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        await watch._load_orders.wait_for_load(WeightsOrder(endpoint, "m", 2))
        assert watch._engine_weights.merge(endpoint).weights == {"m": 2}
        return loop.time() - start_s

    assert asyncio.run(measure()) < 3 * load_s
