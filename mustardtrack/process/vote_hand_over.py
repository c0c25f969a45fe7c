"""Hand-over of a control host's vote before its process ends."""

import asyncio

from mustardtrack.agreement import Replica
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import Clock

VOTE_HANDED_OVER = define_event(
    8917, "INFO", "stopping control host has ended its part in the voter set"
)

# Part of the grace period in which a successor may take over the vote.
HAND_OVER_FRACTION = 0.5
POLL_S = 0.02


async def hand_over_vote(replica: Replica, clock: Clock, grace_s: float) -> None:
    """Wait until the group has replaced this replica, or cannot do so.

    The tasks of the replica must go on meanwhile.

    Args:
        replica: Replica of the stopping process.
        clock: Clock of the replica.
        grace_s: Time after which the process is killed.
    """
    began_ms = clock.now_ms()
    replica.begin_departure(began_ms)
    limit_ms = grace_s * HAND_OVER_FRACTION * 1000
    while not replica.may_depart(clock.now_ms()):
        if clock.now_ms() - began_ms >= limit_ms:
            break
        await asyncio.sleep(POLL_S)
    now_ms = clock.now_ms()
    log_event(
        VOTE_HANDED_OVER,
        voters=[voter.name for voter in replica.status(now_ms).voters],
        elapsed_ms=now_ms - began_ms,
    )
