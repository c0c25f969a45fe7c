"""Guards against an account that grows or affects ordinary callers first."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.admission.memoryaccount import (
    CONNECTION_BYTES,
    DEFAULT_UNREAD_BYTES,
    MIN_LIMIT_BYTES,
    ORDINARY_BYTES,
    Caller,
    Holder,
    MemoryAccount,
)

LIMIT = 10_000_000


class StandInEndpoint(Holder):
    """Holder that records the steps taken against it."""

    def __init__(self):
        self.steps = []

    def hold_back(self, is_held_back):
        """Record a pause."""
        self.steps.append("pause" if is_held_back else "resume")

    def discard(self):
        """Record a reset."""
        self.steps.append("discard")


class StandInCaller(StandInEndpoint, Caller):
    """Caller that records the steps taken against it."""

    def refuse_partial(self):
        """Record a refusal."""
        self.steps.append("refuse")

    def close_now(self):
        """Record a close."""
        self.steps.append("close")


def record(account, holder, size, state):
    if isinstance(holder, Caller):
        unread = size if state == "unread" else 0
        is_partial, is_idle = state == "partial", state == "idle"
        account.record_caller(holder, size, unread, is_partial, is_idle)
    else:
        account.record_endpoint(holder, size)


# Sizes and states of holders that are recorded in this order, and the steps that each
# of them sees. Sizes are parts of the limit.
STEPS = [
    ("calm below half of the limit", [(0.49, "partial")], [[]]),
    (
        "reading from the largest pauses",
        [(0.1, "busy"), (0.5, "busy")],
        [[], ["pause"]],
    ),
    (
        "small callers are not paused in a full account",
        [(0.6, "busy"), (0.3, "busy"), (0.005, "partial")],
        [["pause"], ["pause"], []],
    ),
    (
        "a large request received in part is refused",
        [(0.5, "busy"), (0.004, "partial"), (0.3, "partial")],
        [[], [], ["pause", "refuse", "resume"]],
    ),
    (
        "the largest caller that does not read is reset",
        [(0.45, "busy"), (0.3, "unread"), (0.1, "unread"), (0.1, "unread")],
        [[], ["pause", "discard"], [], ["pause", "resume"]],
    ),
    ("the largest answer goes on", [(0.7, "answer")], [[]]),
    (
        "another answer waits",
        [(0.5, "answer"), (0.4, "answer")],
        [[], ["pause"]],
    ),
    (
        "the largest of all goes if nothing else helps",
        [(0.4, "busy"), (0.7, "answer")],
        [[], ["discard"]],
    ),
]


@pytest.mark.parametrize(
    "name, holders, expected", STEPS, ids=[row[0] for row in STEPS]
)
def test_steps_come_in_order(name, holders, expected):
    account = MemoryAccount(LIMIT)
    seen = []
    for part, state in holders:
        holder = StandInEndpoint() if state == "answer" else StandInCaller()
        record(account, holder, int(part * LIMIT), state)
        seen.append(holder.steps)
    assert seen == expected


def test_paused_holder_reads_again_once_memory_is_free():
    account, first, second = MemoryAccount(LIMIT), StandInCaller(), StandInCaller()
    record(account, first, LIMIT // 2, "busy")
    record(account, second, LIMIT // 5, "busy")
    record(account, first, LIMIT * 6 // 10, "busy")
    assert first.steps == ["pause"]
    account.remove(second)
    record(account, first, LIMIT // 10, "busy")
    assert first.steps == ["pause", "resume"]


def test_new_work_of_the_largest_is_refused_and_of_ordinary_callers_is_not():
    account, large, small = MemoryAccount(LIMIT), StandInCaller(), StandInCaller()
    record(account, large, LIMIT * 8 // 10, "busy")
    record(account, small, CONNECTION_BYTES, "busy")
    assert account.must_refuse(large)
    assert not account.must_refuse(small)


@pytest.mark.parametrize(
    "states, closed",
    [
        (["idle", "idle", "busy"], 0),
        (["unread", "partial", "idle"], 2),
        (["partial", "unread", "busy"], 1),
        (["busy", "partial", "busy"], 1),
        (["busy", "busy", "busy"], None),
    ],
)
def test_idle_connections_make_room_first(states, closed):
    account = MemoryAccount(max_callers=3)
    callers = [StandInCaller() for _ in states]
    for caller, state in zip(callers, states, strict=True):
        assert account.has_room_for_caller()
        record(account, caller, 1000, state)
    assert account.has_room_for_caller() is (closed is not None)
    steps = [[] if number != closed else ["close"] for number in range(3)]
    assert [caller.steps for caller in callers] == steps


def test_unknown_host_has_only_the_limit_of_unread_answers():
    """Guards against new refusals where the settings name no limits."""
    account, caller = MemoryAccount.of_host(None, None, 0, 0), StandInCaller()
    record(account, caller, 100 * DEFAULT_UNREAD_BYTES, "partial")
    assert not account.must_refuse(caller) and caller.steps == []
    assert account.has_room_for_caller()
    record(account, caller, DEFAULT_UNREAD_BYTES, "unread")
    assert caller.steps == []
    record(account, caller, DEFAULT_UNREAD_BYTES + 1, "unread")
    assert caller.steps == ["discard"]


def test_smallest_limit_serves_one_ordinary_caller():
    account, caller = MemoryAccount.of_host(1, None, 50, 0), StandInCaller()
    assert account.limit_bytes == MIN_LIMIT_BYTES
    # A body of the largest size, and less than its answer.
    for size in range(0, MIN_LIMIT_BYTES // 2, ORDINARY_BYTES):
        record(account, caller, size, "partial")
    assert caller.steps == []


STATES = st.sampled_from(["idle", "partial", "busy", "unread", "answer", "gone"])


@given(
    st.lists(
        st.tuples(st.integers(0, 30), st.integers(1, 400_000), STATES), max_size=80
    )
)
def test_sum_stays_within_the_limit(changes):
    """Guards against holders that are forgotten or counted twice."""
    limit = 1_000_000
    account = MemoryAccount(limit)
    holders = [StandInCaller() if n % 3 else StandInEndpoint() for n in range(31)]
    for number, size, state in changes:
        holder = holders[number]
        if state == "gone":
            account.remove(holder)
        else:
            record(account, holder, size, state)
        assert account.total_bytes < limit
        assert account.total_bytes == sum(map(account.held_bytes, holders))
        assert 0 <= account.unread_bytes <= account.total_bytes
