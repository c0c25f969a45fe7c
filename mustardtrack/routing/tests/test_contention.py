"""Order of admission under constructed demand of two to three times the capacity."""

from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.routing.contention import Contention, longest_wait_ms
from mustardtrack.routing.fairshares import fair_level
from mustardtrack.routing.placementmessages import PlacementRequest

LIMITS = {0: (423, 3176), 1: (884, 13_267), 2: (1263, 6317)}


def prompt(client="a", rank=0, prefix="p", tokens=400):
    objective_ms, time_left_ms = LIMITS[rank]
    return PlacementRequest(
        request_id="r",
        service="s",
        model="m",
        parts=[(prefix, tokens // 2), ("own", tokens - tokens // 2)],
        cache="",
        tokens=tokens,
        output_tokens=0,
        rank=rank,
        objective_ms=objective_ms,
        time_left_ms=time_left_ms,
        zone="a",
        tried=[],
        client=client,
    )


class Queue:
    """Engines that serve ``rate`` prompts per second, the most urgent first.

    Args:
        rate: Prompts per second.
        is_ordered: Whether urgent prompts pass others. They can't pass those that run.
    """

    def __init__(self, rate, is_ordered=True):
        self.is_ordered = is_ordered
        self.contention = Contention()
        self.rate = rate
        self.waiting = Counter()
        self.asked, self.served = Counter(), Counter()

    def offer(self, request, now_ms):
        """Admit or refuse a prompt."""
        last = request.rank if self.is_ordered else max(LIMITS)
        ahead = sum(self.waiting[rank] for rank in range(last + 1))
        expected_ms = 40 + 1000 * ahead / self.rate
        key = (request.client, request.rank, request.parts[0][0])
        self.asked[key] += 1
        refusal = self.contention.check(request, expected_ms, now_ms)
        if refusal is None:
            self.served[key] += 1
            self.waiting[request.rank] += 1
        return refusal

    def work(self, count):
        """Serve so many prompts."""
        for rank in sorted(self.waiting):
            done = min(count, self.waiting[rank])
            self.waiting[rank] -= done
            count -= done

    def run(self, demands, for_ms=20_000):
        """Offer prompts at constant rates, given as pairs of a prompt and a rate."""
        due = [0.0] * len(demands)
        spare = 0.0
        for now_ms in range(0, for_ms, 10):
            for position, (request, rate) in enumerate(demands):
                due[position] += rate / 100
                while due[position] >= 1:
                    due[position] -= 1
                    self.offer(request, now_ms)
            spare += self.rate / 100
            self.work(int(spare))
            spare -= int(spare)

    def part(self, position):
        """Return the served part by client (0), rank (1) or prefix (2)."""
        asked, served = Counter(), Counter()
        for key, count in self.asked.items():
            asked[key[position]] += count
            served[key[position]] += self.served[key]
        return {member: served[member] / asked[member] for member in asked}


def test_burst_of_a_large_account_is_borne_by_that_account():
    """Guards against small accounts that are refused for the burst of a large one."""
    queue = Queue(100)
    small = [(prompt(f"small{n}"), 10) for n in range(4)]
    queue.run([(prompt("large"), 225), *small])
    part = queue.part(0)
    assert min(part[f"small{n}"] for n in range(4)) > 0.9
    assert part["large"] < 0.4
    assert sum(queue.served.values()) > 0.95 * 100 * 20


def test_no_shared_prefix_starves():
    """Guards against one prefix that keeps the others of its account out."""
    queue = Queue(100)
    queue.run([(prompt(prefix="hot"), 250), (prompt(prefix="cold"), 20)])
    assert queue.part(2)["cold"] > 0.9


@pytest.mark.parametrize("is_ordered", [True, False])
def test_less_urgent_rank_is_not_served_better(is_ordered):
    """Guards against long time limits that win over urgent ones."""
    queue = Queue(100, is_ordered)
    queue.run([(prompt(rank=0), 150), (prompt(rank=2), 100)])
    part = queue.part(1)
    assert part[0] >= part[2]
    # At least its share of the demand; nearly all if engines let it pass.
    assert part[0] > (0.6 if is_ordered else 100 / 250)


def test_nothing_is_kept_or_refused_below_capacity():
    """Guards against effects on deployments whose engines serve all prompts."""
    queue = Queue(100)
    queue.run([(prompt("a"), 60), (prompt("b", rank=2), 30)])
    assert queue.served == queue.asked
    assert not queue.contention.is_contended("s")


def test_contention_ends_with_the_load():
    """Guards against an order that outlasts the burst that it was made for."""
    contention = Contention()
    assert contention.check(prompt(), 5000, 0) is not None
    assert contention.check(prompt(), 50, 3177) is None
    assert not contention.is_contended("s")


def test_new_leader_refuses_nothing_that_can_be_served():
    """Guards against refusals by a leader that has not seen the demand."""
    request = prompt(rank=2)
    assert Contention().check(request, longest_wait_ms(request), 0) is None


@given(st.lists(st.floats(0.1, 1e6), min_size=1, max_size=20), st.floats(1, 1e6))
def test_level_uses_the_capacity(demands, capacity):
    """Guards against shares that add up to more or less than the capacity."""
    level = fair_level(demands, capacity)
    used = sum(min(demand, level) for demand in demands)
    assert abs(used - min(capacity, sum(demands))) <= 1e-6 * capacity


def test_request_that_was_sent_before_is_not_refused_for_others():
    """Guards against retries and resumed streams that lose the work done on them."""
    queue = Queue(100)
    queue.run([(prompt("large"), 225), (prompt("small"), 10)])
    late_ms = 1 + LIMITS[0][0]
    assert queue.contention.check(prompt("large"), late_ms, 20_000) is not None
    retried = msgspec.structs.replace(prompt("large"), is_retry=True)
    assert queue.contention.check(retried, late_ms, 20_000) is None
    hopeless_ms = 1 + longest_wait_ms(retried)
    assert queue.contention.check(retried, hopeless_ms, 20_000) is not None
