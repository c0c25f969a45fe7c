"""Guards against exceeding the limit of an endpoint, and against leaving it unused.

Hosts send as often as their buckets allow; no message is exchanged between them.
"""

import random
from dataclasses import dataclass

import pytest

from mustardtrack.admission.ratelimits import (
    LIMIT_LIFETIME_MS,
    RENEWAL_MS,
    RateLimits,
)

WINDOW_MS = 4000
STEP_MS = 50
DAY_MS = 16_000
ENDPOINTS = 5


@dataclass
class Case:
    """Hosts that share a limit.

    Attributes:
        rate_per_s: Limit of each endpoint.
        hosts: Number of hosts at first.
        counts: Hosts that are alive from a time on, by time.
        lag_ms: Time after which hosts know of a change of their number.
        frozen: Hosts that stand still between 5 s and 10 s.
        changes: New limits by time.
    """

    rate_per_s: float
    hosts: int
    counts: tuple[tuple[int, int], ...] = ()
    lag_ms: int = 1400
    frozen: int = 0
    changes: tuple[tuple[int, float], ...] = ()


def send_all(case, seed):
    """Return the times at which requests arrive, by endpoint."""
    rng = random.Random(seed)
    hosts = [RateLimits(f"edge-{seed}-{number}") for number in range(case.hosts)]
    arrivals = {f"e{number}": [] for number in range(ENDPOINTS)}
    counts = dict(case.counts)
    alive = known = case.hosts
    known_at = {}
    rate_per_s = case.rate_per_s
    for now_ms in range(0, DAY_MS, STEP_MS):
        if now_ms in counts:
            alive = counts[now_ms]
            known_at[now_ms + case.lag_ms] = alive
        known = known_at.get(now_ms, known)
        rate_per_s = dict(case.changes).get(now_ms, rate_per_s)
        for number in rng.sample(range(case.hosts), case.hosts):
            if number >= alive or (number < case.frozen and 5000 <= now_ms < 10_000):
                continue
            for endpoint, times in arrivals.items():
                hosts[number].observe(endpoint, rate_per_s, now_ms)
                if hosts[number].take(endpoint, known, now_ms):
                    times.append(now_ms)
    return arrivals


def largest_window(times, since_ms=0):
    late = [at_ms for at_ms in times if at_ms >= since_ms]
    return max(
        (sum(0 <= at_ms - start < WINDOW_MS for at_ms in late) for start in late),
        default=0,
    )


CASES = {
    "one host": Case(6.0, 1),
    "8 hosts": Case(6.0, 8),
    "8 hosts, small limit": Case(1.5, 8),
    "74 hosts, large limit": Case(60.0, 74),
    "one host dies": Case(6.0, 8, counts=((6000, 7),)),
    "half of the hosts die": Case(6.0, 8, counts=((6000, 4),)),
    "hosts start": Case(8.0, 8, counts=((0, 4), (6000, 8))),
    "two hosts are frozen": Case(6.0, 8, frozen=2),
    "lower limit": Case(12.0, 8, changes=((6000, 4.0),)),
}


@pytest.mark.parametrize("name", CASES)
@pytest.mark.parametrize("seed", range(2))
def test_shares_stay_below_the_limit_and_use_most_of_it(name, seed):
    case = CASES[name]
    rate_per_s = case.changes[-1][1] if case.changes else case.rate_per_s
    # The rule counts from three seconds after a limit was named.
    since_ms = case.changes[-1][0] + 3000 if case.changes else 0
    allowed = 1.5 * rate_per_s * WINDOW_MS / 1000 + 5
    arrivals = send_all(case, seed)
    for times in arrivals.values():
        assert largest_window(times, since_ms) <= allowed
    total = sum(len(times) for times in arrivals.values())
    possible = ENDPOINTS * rate_per_s * DAY_MS / 1000
    assert total >= 0.35 * possible


@pytest.mark.parametrize("hosts", [74, 370])
@pytest.mark.parametrize("rate_per_s", [1.0, 6.0, 20.0])
def test_shares_of_many_hosts_stay_below_the_limit_on_average(hosts, rate_per_s):
    """Guards against a share of one request for each of many hosts."""
    case = Case(rate_per_s, hosts)
    allowed = 1.5 * rate_per_s * WINDOW_MS / 1000 + 5
    windows = [
        largest_window(times)
        for seed in range(1)
        for times in send_all(case, seed).values()
    ]
    assert sum(windows) / len(windows) <= allowed


def test_unused_share_is_not_lost_at_once():
    limits = RateLimits("leader")
    limits.observe("e", 4.0, 0)
    limits.observe("e", 4.0, 5000)
    assert [limits.take("e", 1, 5000) for _ in range(6)] == [True] * 5 + [False]


def test_limit_ends_when_an_answer_names_none():
    limits = RateLimits("r")
    limits.observe("e", 1.0, 0)
    assert [limits.take("e", 1, 0), limits.take("e", 1, 0)] == [True, False]
    limits.observe("e", None, 10)
    assert all(limits.take("e", 1, 10) for _ in range(20))


def test_limit_ends_when_no_answer_has_named_it_for_long():
    """Guards against an endpoint that gets no request because it got none."""
    limits = RateLimits("r")
    limits.observe("e", 1.0, 0)
    assert limits.rate_per_s("e", LIMIT_LIFETIME_MS) == 1.0
    assert limits.rate_per_s("e", LIMIT_LIFETIME_MS + 1) is None


def test_limit_of_zero_lets_requests_through_that_notice_its_end():
    limits = RateLimits("r")
    sent = 0
    for now_ms in range(0, 20_000, 100):
        limits.observe("e", 0.0, now_ms)
        sent += limits.take("e", 1, now_ms)
    assert 1 <= sent <= 7


def test_older_answer_does_not_replace_a_newer_one():
    limits = RateLimits("leader")
    limits.merge({"e": (None, 0)}, 1000)
    limits.merge({"e": (2.0, 10)}, 2000)
    limits.merge({"e": (None, 500)}, 2000)
    assert limits.rate_per_s("e", 2000) == 2.0


def test_limit_is_reported_again_while_it_holds():
    """Guards against a limit that lapses at the leader while answers still name it."""
    router, leader = RateLimits("r"), RateLimits("leader")
    reports = 0
    for now_ms in range(0, 2 * LIMIT_LIFETIME_MS, 100):
        router.observe("e", 2.0, now_ms)
        report = router.take_report(now_ms)
        reports += len(report)
        leader.merge(report, now_ms + 30)
        router.merge(leader.due_observations(now_ms + 50), now_ms + 60)
    assert leader.rate_per_s("e", now_ms) == 2.0
    assert reports <= 1 + 2 * LIMIT_LIFETIME_MS / RENEWAL_MS


def test_routers_keep_a_limit_that_others_observe():
    """Guards against a limit that lapses at routers which send its endpoint nothing."""
    leader, router = RateLimits("leader"), RateLimits("r")
    for now_ms in range(0, 3 * LIMIT_LIFETIME_MS, 400):
        leader.observe("e", 2.0, now_ms)
        router.merge(leader.due_observations(now_ms), now_ms)
        assert router.rate_per_s("e", now_ms) == 2.0
    leader.observe("e", None, now_ms)
    router.merge(leader.due_observations(now_ms + 400), now_ms + 400)
    assert router.rate_per_s("e", now_ms + 400) is None


def test_new_leader_is_told_all_limits():
    router = RateLimits("r")
    router.observe("e", 2.0, 0)
    assert router.take_report(0) == {"e": (2.0, 0)}
    assert router.take_report(100) == {}
    router.report_again()
    assert router.take_report(200) == {"e": (2.0, 200)}
