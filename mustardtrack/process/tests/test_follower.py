"""Guards against a router that takes another control group for its own."""

import asyncio
import random

import msgspec

from mustardtrack.configuration import ConfigurationCopy, Model, ObjectChange
from mustardtrack.logs import add_event_listener, remove_event_listener
from mustardtrack.ports import Clock, FollowReply, FollowRequest
from mustardtrack.process.follower import BEHIND_MS, SOURCE_BEHIND, FollowerTask


class SetClock(Clock):
    """Clock that the test moves."""

    def __init__(self):
        self.time_ms = 0

    def now_ms(self):
        """Return the set time."""
        return self.time_ms

    def wall_ms(self):
        """Return the set time."""
        return self.time_ms


class Source:
    """Bus whose only peer answers follow requests from a fixed state."""

    def __init__(self, reply):
        self.reply = reply
        self.asked = []

    async def request(self, address, topic, body, timeout_ms):
        """Answer a follow request."""
        self.asked.append(msgspec.msgpack.decode(body, type=FollowRequest))
        return msgspec.msgpack.encode(self.reply)


def copy_at(revision):
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
    clock = SetClock()
    source = Source(FollowReply(revision=3))
    copy = copy_at(7)
    follower = FollowerTask(source, copy, ["c"], [], clock, random.Random(1))
    seen = []

    def remember(event, fields):
        seen.append(event)

    add_event_listener(remember)
    try:
        poll(follower, clock, times=5, step_ms=BEHIND_MS)
    finally:
        remove_event_listener(remember)
    assert copy.revision == 7
    assert follower.stale_ms == 5 * BEHIND_MS
    assert seen.count(SOURCE_BEHIND) == 1


def test_group_at_the_same_revision_confirms_the_copy():
    clock = SetClock()
    source = Source(FollowReply(revision=7, stale_ms=40))
    follower = FollowerTask(source, copy_at(7), ["c"], [], clock, random.Random(1))
    poll(follower, clock, times=2, step_ms=BEHIND_MS)
    assert follower.stale_ms == 40
    assert source.asked[-1].have_revision == 7


def test_starting_router_asks_few_routers_for_a_snapshot():
    clock = SetClock()
    source = Source(FollowReply(revision=0))
    routers = [f"r{number}" for number in range(370)]
    follower = FollowerTask(
        source,
        ConfigurationCopy(2),
        ["c1", "c2", "c3"],
        routers,
        clock,
        random.Random(1),
    )
    asyncio.run(follower._catch_up())
    assert len(source.asked) == 6
