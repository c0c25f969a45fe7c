"""Guards against starved classes and accounts, and against invalid refusals."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.admission import (
    ADMITTED,
    Capacity,
    ClassShare,
    FairQueue,
    QueueItem,
)
from mustardtrack.logs import InvariantViolationError

SHARES = [ClassShare("urgent", 0), ClassShare("patient", 1, 0.2)]
WEIGHTS = {"small": 1.0, "large": 4.0, "other": 2.0}
LARGEST_TOKENS = 500
COSTS = st.integers(1, LARGEST_TOKENS)
OFFERS = st.tuples(st.sampled_from(["large", "other"]), COSTS)
TAKES = st.tuples(st.just("take"), st.integers(1, 2000))


def test_patient_work_keeps_its_minimum_share():
    queue = FairQueue(SHARES, {})
    for number in range(500):
        for name in ("urgent", "patient"):
            queue.offer(QueueItem(f"{name}{number}", "hotel", name, 100, 0))
    taken = queue.take(1, 40_000)
    patient = sum(each.item.class_name == "patient" for each in taken)
    assert 78 <= patient <= 82
    assert sum(each.promoted for each in taken) == patient


def test_expired_request_is_refused_and_never_taken():
    queue = FairQueue(SHARES, {})
    queue.offer(QueueItem("r1", "hotel", "urgent", 100, 0, deadline_ms=10))
    assert queue.take(11, 1000) == []
    [(item, refused)] = queue.expired()
    assert (item.request_id, refused.reason) == ("r1", "deadline")


def test_taken_request_cannot_be_refused():
    queue = FairQueue(SHARES, {})
    queue.offer(QueueItem("r1", "hotel", "urgent", 100, 0))
    queue.take(1, 1000)
    with pytest.raises(InvariantViolationError):
        queue.offer(QueueItem("r1", "hotel", "urgent", 100, 0, deadline_ms=1))


def test_light_account_uses_capacity_reserved_from_heavy_ones():
    queue = FairQueue(SHARES, {})
    for number in range(50):
        queue.offer(QueueItem(f"h{number}", "heavy", "urgent", 100, 0))
    queue.take(1, 1000)
    queue.offer(QueueItem("s", "small", "urgent", 100, 2))
    queue.offer(QueueItem("p", "small", "patient", 100, 2))
    [taken] = queue.take(3, Capacity(light=500, normal=0, other_classes=0))
    assert (taken.item.request_id, taken.priority) == ("s", 0)


@given(st.lists(st.one_of(OFFERS, TAKES), max_size=60))
def test_backlogged_account_receives_its_weighted_share(steps):
    """No account may receive more than its share beside a backlogged account."""
    queue = FairQueue(SHARES, WEIGHTS)
    for number in range(400):
        item = QueueItem(f"small{number}", "small", "urgent", LARGEST_TOKENS, 0)
        queue.offer(item)
    served = dict.fromkeys(WEIGHTS, 0.0)
    history = [dict(served)]
    for number, (kind, amount) in enumerate(steps):
        if kind != "take":
            queue.offer(QueueItem(f"r{number}", kind, "urgent", amount, 0))
            continue
        for taken in queue.take(number, amount):
            account = taken.item.account
            served[account] += taken.item.cost_tokens / WEIGHTS[account]
        history.append(dict(served))
    for start, before in enumerate(history):
        for after in history[start:]:
            own = after["small"] - before["small"]
            for account, weight in WEIGHTS.items():
                bound = LARGEST_TOKENS + LARGEST_TOKENS / weight
                assert after[account] - before[account] - own <= bound


@given(st.lists(st.tuples(COSTS, COSTS), min_size=1, max_size=30))
def test_patient_share_holds_for_any_costs(pairs):
    """Service of the lower class lags its minimum share by one request at most."""
    queue = FairQueue(SHARES, {})
    for number, (urgent, patient) in enumerate(pairs * 10):
        queue.offer(QueueItem(f"u{number}", "a", "urgent", urgent, 0))
        queue.offer(QueueItem(f"p{number}", "a", "patient", patient, 0))
    total = patient_total = 0
    while queue.queued_tokens("patient"):
        [taken] = queue.take(1, 1)
        total += taken.item.cost_tokens
        if taken.item.class_name == "patient":
            patient_total += taken.item.cost_tokens
        assert patient_total >= 0.2 * total - LARGEST_TOKENS


@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(WEIGHTS)), COSTS, st.integers(0, 300)),
        max_size=60,
    ),
    st.lists(st.integers(0, 2000), max_size=20),
)
def test_a_request_is_dispatched_or_refused_but_never_both(offers, capacities):
    queue = FairQueue(SHARES, WEIGHTS, queued_per_account=5)
    refused, taken, queued = set(), set(), set()
    for now_ms, (account, cost, deadline_ms) in enumerate(offers):
        name = f"r{now_ms}"
        item = QueueItem(name, account, "urgent", cost, now_ms, deadline_ms)
        (queued if queue.offer(item) == ADMITTED else refused).add(name)
        if now_ms < len(capacities):
            dispatched = queue.take(now_ms, capacities[now_ms])
            taken |= {each.item.request_id for each in dispatched}
    taken |= {each.item.request_id for each in queue.take(1000, 1 << 40)}
    refused |= {item.request_id for item, _ in queue.expired()}
    assert not taken & refused
    assert len(taken | refused) == len(offers)
