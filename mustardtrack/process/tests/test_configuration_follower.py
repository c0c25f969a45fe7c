"""Guards against a router that accepts another control group as its own.

A control group that was formed anew is at an older revision than the router, and its
answers must not confirm the router's configuration.
"""

import asyncio
import random

import msgspec

from mustardtrack.configuration import ConfigurationCopy, Model, ObjectChange
from mustardtrack.logs import add_event_listener, remove_event_listener
from mustardtrack.ports import Clock, FollowReply, FollowRequest
from mustardtrack.process.configuration_follower import (
    BEHIND_TIMEOUT_MS,
    SOURCE_BEHIND,
    ConfigurationFollower,
)


class ManualClock(Clock):
    """Clock that the test advances."""

    def __init__(self):
        self.time_ms = 0

    def now_ms(self):
        """Return the set time."""
        return self.time_ms

    def wall_ms(self):
        """Return the set time."""
        return self.time_ms


class StubBus:
    """Bus that answers all follow requests with a fixed reply."""

    def __init__(self, reply):
        self.reply = reply
        self.asked = []

    async def request(self, address, topic, body, timeout_ms):
        """Answer a follow request."""
        self.asked.append(msgspec.msgpack.decode(body, type=FollowRequest))
        return msgspec.msgpack.encode(self.reply)


def configuration_at(revision):
    copy = ConfigurationCopy(2)
    change = ObjectChange(revision, 0, "model", "m", Model("m", 1, "v1"))
    assert copy.apply(revision, [change])
    return copy


def poll(follower, clock, times, step_ms):
    async def scenario():
        for _ in range(times):
            clock.time_ms += step_ms
            await follower._poll_control()

    asyncio.run(scenario())


def test_group_at_an_older_revision_never_confirms_the_copy():
    clock = ManualClock()
    source = StubBus(FollowReply(revision=3))
    copy = configuration_at(7)
    follower = ConfigurationFollower(source, copy, ["c"], [], clock, random.Random(1))
    events = []

    def record_event(event, fields):
        events.append(event)

    add_event_listener(record_event)
    try:
        poll(follower, clock, times=5, step_ms=BEHIND_TIMEOUT_MS)
    finally:
        remove_event_listener(record_event)
    assert copy.revision == 7
    assert follower.stale_ms == 5 * BEHIND_TIMEOUT_MS
    assert events.count(SOURCE_BEHIND) == 1


def test_group_at_the_same_revision_confirms_the_copy():
    clock = ManualClock()
    source = StubBus(FollowReply(revision=7, stale_ms=40))
    follower = ConfigurationFollower(
        source, configuration_at(7), ["c"], [], clock, random.Random(1)
    )
    poll(follower, clock, times=2, step_ms=BEHIND_TIMEOUT_MS)
    assert follower.stale_ms == 40
    assert source.asked[-1].have_revision == 7


def test_starting_router_asks_only_a_few_routers_for_a_snapshot():
    clock = ManualClock()
    source = StubBus(FollowReply(revision=0))
    routers = [f"r{number}" for number in range(370)]
    follower = ConfigurationFollower(
        source,
        ConfigurationCopy(2),
        ["c1", "c2", "c3"],
        routers,
        clock,
        random.Random(1),
    )
    asyncio.run(follower._fetch_initial_configuration())
    assert len(source.asked) == 6
