"""Guards against accounts that get more, or less, than their allotment.

Load pattern: one account sends several times its allotment through all routers, while
routers are cut off, freeze or restart and the leader changes.
"""

import pickle
import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardtrack.admission import ADMITTED, AccountLimits, Limit
from mustardtrack.admission.allotments import (
    Allotment,
    Allotments,
    AllotmentShare,
    AllotmentTerms,
    LeaderTerms,
)

TERMS = AllotmentTerms(window_s=8.0, overshoot=0.1, slack=100.0)
HOTEL = Allotment(rate_per_s=100.0, burst=100.0)
STEP_MS = 20
# A router reports to the leader at least this often.
REPORT_MS = 400
# Time for which a router serves that no leader has confirmed.
SERVES_ALONE_MS = 4250


@dataclass
class SimulatedRouter:
    """Router with its contact to the leader."""

    share: AllotmentShare = field(default_factory=lambda: AllotmentShare(TERMS))
    heard_ms: int = 0
    cut_until_ms: int = 0
    restarted_ms: int = -1


@dataclass
class Deployment:
    """Routers and a leader that count the requests of one account."""

    routers: int = 8
    allotment: Allotment = HOTEL
    counts_routers: bool = True
    new_leader_forgets: bool = True
    now_ms: int = 0
    leader_down_until_ms: int = 0
    used: list = field(default_factory=list)
    asked: float = 0.0

    def __post_init__(self):
        self.leader, self.term = Allotments(TERMS), 1
        self.terms = LeaderTerms(TERMS.window_s * 1000)
        self.terms.observe(self.term, 0)
        self.leader.update({"hotel": self.allotment}, 0)
        self.members = [SimulatedRouter() for _ in range(self.routers)]

    def lose_leader(self, for_ms):
        """Replace the leader by one that knows nothing of the usage."""
        self.leader_down_until_ms = self.now_ms + for_ms
        if self.new_leader_forgets:
            self.term += 1
            self.terms.observe(self.term, self.leader_down_until_ms)
            changes = self.terms.changes(self.leader_down_until_ms)
            # Reports and credit of the last leader are lost with it.
            self.leader.record_usage("hotel", -1e9, self.leader_down_until_ms)
            self.leader.forget_usage(self.leader_down_until_ms, changes)
        else:
            self.leader.record_usage("hotel", -1e9, self.leader_down_until_ms)

    def is_led(self):
        """Return whether a leader answers."""
        return self.now_ms >= self.leader_down_until_ms

    def run(self, for_ms, per_s, rng, busy=None, on_step=None):
        """Send requests through random routers, or through the first ``busy``."""
        due = 0.0
        for _ in range(for_ms // STEP_MS):
            self.now_ms += STEP_MS
            if on_step is not None:
                on_step()
            self._sync()
            due += per_s * STEP_MS / 1000
            while due >= 1:
                due -= 1
                self.asked += 1
                router = rng.choice(self.members[:busy])
                self._send(router)

    def _sync(self):
        for router in self.members:
            if self.is_led() and self.now_ms >= router.cut_until_ms:
                if self.now_ms - router.heard_ms >= REPORT_MS:
                    router.heard_ms = self.now_ms
                for account, amount in router.share.take_report().items():
                    self.leader.record_usage(account, amount, self.now_ms)

    def _send(self, router):
        now_ms = self.now_ms
        if self.is_led() and now_ms >= router.cut_until_ms:
            if self.counts_routers:
                present = sum(now_ms - one.heard_ms < 1000 for one in self.members)
                known = sum(now_ms - one.heard_ms < 5000 for one in self.members)
                self.leader.record_routers(present, known)
            wait_ms = self.leader.take("hotel", 1, now_ms)
        elif now_ms - router.heard_ms > SERVES_ALONE_MS:
            return
        else:
            wait_ms = router.share.take(
                "hotel", self.allotment, 1, self.routers, router.heard_ms, now_ms
            )
        if not wait_ms:
            self.used.append(now_ms)

    def most_in_a_window(self):
        """Return the largest usage in any window."""
        most = begin = 0
        for end, used_ms in enumerate(self.used):
            while used_ms - self.used[begin] >= TERMS.window_s * 1000:
                begin += 1
            most = max(most, end - begin + 1)
        return most


def allowed(allotment=HOTEL):
    in_window = allotment.rate_per_s * TERMS.window_s + allotment.burst
    return in_window * (1 + TERMS.overshoot) + TERMS.slack


def play(history, seed, busy=(None, None, 1, 3), **options):
    """Play a history of failures while the account sends four times its rate."""
    deployment, rng = Deployment(**options), random.Random(seed)
    for kind, part, for_ms in history:
        members = deployment.members[: max(1, part * deployment.routers // 4)]
        if kind == "leader":
            deployment.lose_leader(for_ms)
        elif kind == "cut":
            for router in members:
                router.cut_until_ms = deployment.now_ms + for_ms
        elif kind == "restart":
            for router in members:
                router.share = AllotmentShare(TERMS)
                router.heard_ms = deployment.now_ms
        deployment.run(for_ms, 400, rng, busy=rng.choice(busy))
    return deployment


HISTORIES = st.lists(
    st.tuples(
        st.sampled_from(["calm", "leader", "cut", "restart"]),
        st.integers(0, 4),
        st.sampled_from([200, 1000, 3000, 5000]),
    ),
    min_size=1,
    max_size=12,
)


@settings(max_examples=60)
@given(HISTORIES, st.integers(0, 2**32))
def test_usage_stays_within_the_allotment(history, seed):
    assert play(history, seed).most_in_a_window() <= allowed()


@pytest.mark.parametrize(("down_ms", "period_ms"), [(40, 100), (100, 800), (200, 2000)])
def test_leaders_that_follow_each_other_stay_within_the_allotment(down_ms, period_ms):
    """Guards against new leaders that each begin with a part of the same margin."""
    deployment, rng = Deployment(), random.Random(7)
    for _ in range(20_000 // period_ms):
        deployment.lose_leader(down_ms)
        deployment.run(period_ms, 1600, rng)
    assert deployment.most_in_a_window() <= allowed()


def test_host_that_leads_again_keeps_what_it_knows():
    """Guards against a host that is elected again and begins with another burst."""
    allotments = Allotments(TERMS)
    allotments.update({"hotel": HOTEL}, 0)
    assert allotments.take("hotel", 30, 0) == 0
    allotments.record_usage("hotel", 500, 100)
    allotments.forget_usage(1000)
    assert allotments.take("hotel", 1, 1000) > 0
    allotments.resume(10_000)
    assert allotments.take("hotel", 1, 10_000) > 0


def test_routers_that_are_cut_off_together_stay_within_a_small_margin(monkeypatch):
    """Guards against a second in which the leader gives the rate that they use too."""
    terms = AllotmentTerms(window_s=8.0, overshoot=0.1)
    monkeypatch.setitem(globals(), "TERMS", terms)
    deployment, rng = Deployment(), random.Random(11)
    deployment.run(4000, 0, rng)
    deployment.run(3600, 1600, rng)
    for router in deployment.members[1:]:
        router.cut_until_ms = deployment.now_ms + 5000
    deployment.run(6000, 1600, rng)
    assert deployment.most_in_a_window() <= allowed()


def test_check_of_the_usage_can_fail_with_a_new_leader():
    """Each leader begins with a full bucket, as if nothing had been used."""
    history = [("leader", 0, 200), ("calm", 0, 1000)] * 6
    deployment = play(history, 1, new_leader_forgets=False)
    assert deployment.most_in_a_window() > allowed()


def test_check_of_the_usage_can_fail_with_routers_that_are_cut_off():
    """The leader gives the whole rate while most routers use their shares."""
    history = [("cut", 3, 4000), ("calm", 0, 600)] * 3
    deployment = play(history, 1, busy=[None], counts_routers=False)
    assert deployment.most_in_a_window() > allowed()


@settings(max_examples=20)
@given(st.integers(1, 12), st.integers(1, 4), st.integers(0, 2**32))
def test_allotment_is_served_while_all_are_in_touch(routers, busy, seed):
    """At least nine tenths, also through a few of the routers."""
    deployment = Deployment(routers=routers)
    deployment.run(20_000, 300, random.Random(seed), busy=busy)
    assert len(deployment.used) >= 0.9 * (HOTEL.rate_per_s * 20 + HOTEL.burst)


def test_check_of_the_service_can_fail():
    deployment = Deployment(routers=8)
    deployment.members[0].cut_until_ms = 10**9
    deployment.run(20_000, 300, random.Random(1), busy=1)
    assert len(deployment.used) < 0.9 * (HOTEL.rate_per_s * 20 + HOTEL.burst)


def test_account_below_its_allotment_is_never_refused():
    deployment = Deployment()
    deployment.run(30_000, 90, random.Random(3))
    # A new leader begins with a part of the burst.
    assert len(deployment.used) == deployment.asked


def test_rate_that_missing_routers_do_not_use_flows_back():
    """Guards against a rate that stays low after routers have gone."""
    deployment, rng = Deployment(), random.Random(5)
    for router in deployment.members[4:]:
        router.cut_until_ms = 10**9
    deployment.run(8000, 300, rng, busy=4)
    before = len(deployment.used)
    deployment.run(10_000, 300, rng, busy=4)
    assert len(deployment.used) - before >= 0.9 * HOTEL.rate_per_s * 10


def test_usage_of_missing_routers_is_not_counted_twice():
    """Guards against a rate that is kept back and paid for again with the report."""
    deployment, rng = Deployment(), random.Random(5)
    deployment.run(3000, 300, rng)
    for router in deployment.members[4:]:
        router.cut_until_ms = deployment.now_ms + 4000
    deployment.run(4000, 800, rng)
    before = len(deployment.used)
    deployment.run(4000, 300, rng)
    assert len(deployment.used) - before >= 0.9 * HOTEL.rate_per_s * 4


def test_lower_limit_binds_and_a_removed_one_ends():
    allotments = Allotments(TERMS)
    allotments.update({"hotel": Allotment(100.0, 1000.0)}, 0)
    allotments.update({"hotel": Allotment(10.0, 10.0)}, 20_000)
    admitted = sum(not allotments.take("hotel", 1, 20_000) for _ in range(1000))
    assert admitted <= 10 + TERMS.margin(Allotment(10.0, 10.0))
    assert allotments.take("hotel", 1, 20_000) > 0
    allotments.update({}, 20_000)
    assert allotments.take("hotel", 10**9, 20_000) == 0


def test_account_added_later_has_its_burst_at_once():
    allotments = Allotments(AllotmentTerms())
    allotments.update({"a": HOTEL}, 0)
    allotments.update({"a": HOTEL, "b": HOTEL}, 1000)
    assert allotments.take("b", 100, 1000) == 0


def test_refused_callers_are_told_to_return_one_after_the_other():
    """Guards against callers that all return into the same room."""
    allotments = Allotments(AllotmentTerms())
    allotments.update({"hotel": HOTEL}, 0)
    waits = [allotments.take("hotel", 50, 0) for _ in range(4)]
    assert waits == [500, 1000, 1500, 2000]


def test_request_larger_than_the_burst_is_admitted_and_paid_for():
    allotments = Allotments(AllotmentTerms())
    allotments.update({"hotel": HOTEL}, 0)
    assert allotments.take("hotel", 1000, 10_000) == 0
    assert allotments.take("hotel", 1, 15_000) > 0
    assert allotments.take("hotel", 1, 20_000) == 0


def test_request_that_did_not_run_is_given_back():
    allotments = Allotments(AllotmentTerms())
    allotments.update({"hotel": HOTEL}, 0)
    assert allotments.take("hotel", 100, 10_000) == 0
    allotments.record_usage("hotel", -100, 10_000)
    assert allotments.take("hotel", 100, 10_000) == 0


def test_wait_of_a_share_is_until_it_has_grown():
    share = AllotmentShare(TERMS)
    wait_ms = share.take("hotel", HOTEL, 5, 10, 0, 100)
    assert share.take("hotel", HOTEL, 5, 10, 0, 100 + wait_ms) == 0
    assert share.take_report() == {"hotel": 5}
    assert share.take_report() == {}


@pytest.mark.parametrize("amount", [float("nan"), float("inf"), float("-inf")])
def test_usage_that_is_not_finite_is_ignored(amount):
    """Guards against a report that locks or fills the bucket of an account."""
    allotments = Allotments(AllotmentTerms())
    allotments.update({"hotel": HOTEL}, 0)
    allotments.record_usage("hotel", amount, 500)
    assert [allotments.take("hotel", 50, 500) for _ in range(2)] == [0, 500]


@pytest.mark.parametrize("amount", [1101, 10**9, 10**18])
def test_request_that_no_window_can_hold_is_refused(amount):
    """Guards against one request that exceeds the allotment or uses up the future."""
    allotments = Allotments(AllotmentTerms())
    allotments.update({"hotel": HOTEL}, 0)
    assert allotments.take("hotel", amount, 20_000) > 0
    assert allotments.take("hotel", 100, 20_000) == 0
    assert allotments.take("hotel", 50, 20_000) <= 1000
    share = AllotmentShare(AllotmentTerms())
    assert share.take("hotel", HOTEL, amount, 1, 0, 60_000) > 0
    assert share.take("hotel", HOTEL, 1, 1, 0, 60_000) == 0


def test_large_requests_among_small_ones_stay_within_the_allotment():
    """Guards against a request larger than the bucket after a window in full use."""
    terms = AllotmentTerms(window_s=8.0, overshoot=0.1)
    for amount in (110, 140, 300, 900):
        allotments, used = Allotments(terms), []
        allotments.update({"hotel": HOTEL}, 0)
        rng = random.Random(amount)
        for now_ms in range(0, 60_000, 20):
            is_idle = now_ms % 12_000 > 9000
            size = amount if is_idle or rng.random() < 0.02 else 3
            if not allotments.take("hotel", size, now_ms):
                used.append((now_ms, size))
        for begin_ms, _ in used:
            within = sum(size for at, size in used if 0 <= at - begin_ms < 8000)
            assert within <= allowed() - TERMS.slack


def test_memory_for_the_usage_of_an_account_is_bounded():
    allotments = Allotments(TERMS)
    allotments.update({"hotel": HOTEL}, 0)
    for now_ms in range(0, 100_000, 7):
        allotments.take("hotel", 1, now_ms)
        allotments.take("account without an allotment", 1, now_ms)
    assert len(pickle.dumps(allotments)) < 3000


def test_account_without_a_burst_is_served_from_the_start():
    """Guards against an account whose bucket holds no request and is never served."""
    allotments = Allotments(AllotmentTerms(window_s=8.0, overshoot=0.1))
    allotments.update({"hotel": Allotment(2.5, 0.0)}, 0)
    for now_ms in range(500, 20_000, 500):
        assert allotments.take("hotel", 1, now_ms) == 0


@pytest.mark.parametrize("used", [10**4, 10**6])
def test_usage_is_paid_for_within_a_window(used):
    """Guards against a debt in tokens that a limit in requests has to pay for."""
    allotments = Allotments(TERMS)
    allotments.update({"hotel": Allotment(10**6, 10**6, True)}, 0)
    allotments.record_usage("hotel", used, 1000)
    allotments.update({"hotel": HOTEL}, 1000)
    allotments.record_usage("hotel", used, 1000)
    assert allotments.take("hotel", 1, 8000) > 0
    assert allotments.take("hotel", 1, 9100) == 0


def test_clock_that_jumps_gives_no_more_than_a_bucket():
    allotments = Allotments(AllotmentTerms())
    allotments.update({"hotel": HOTEL}, 0)
    admitted = 0
    for now_ms in (10**12, 0, 10**12 - 5000, 10**12):
        admitted += sum(not allotments.take("hotel", 1, now_ms) for _ in range(300))
    assert admitted == HOTEL.burst


@pytest.mark.parametrize("routers", [0, 1])
def test_share_of_a_single_router_is_the_rate(routers):
    share = AllotmentShare(AllotmentTerms(slack=1000.0))
    taken = [share.take("hotel", HOTEL, 1, routers, 0, 2000) for _ in range(201)]
    assert taken.count(0) == 200


# Limits of the product's own caller interface: restarts of routers and partitions.
ROUTERS = 8
TOKENS = 50
LIMIT = Limit(tokens_per_second=2000.0, max_concurrent=40)
SIDES = st.lists(st.integers(0, 1), min_size=ROUTERS, max_size=ROUTERS)
DEMAND = st.lists(st.integers(0, 60), min_size=ROUTERS, max_size=ROUTERS)
# Sides of a partition, requests offered to each router, router that restarts.
SECONDS = st.lists(
    st.tuples(SIDES, DEMAND, st.integers(0, 3 * ROUTERS)), min_size=1, max_size=25
)


def make(now_ms):
    limits = AccountLimits(ROUTERS)
    limits.set_limit("hotel", LIMIT, now_ms)
    return limits


def exchange(routers, sides, now_ms):
    uses = [router.announce(now_ms) for router in routers]
    for receiver, router in enumerate(routers):
        for sender, use in enumerate(uses):
            if sender != receiver and sides[sender] == sides[receiver]:
                router.record_peer_usage(f"router-{sender}", use, now_ms)


@given(SECONDS)
def test_limits_hold_during_router_restarts_and_partitions(seconds):
    """The documented error bound: below two limits plus one burst per restart."""
    routers = [make(0) for _ in range(ROUTERS)]
    admitted = restarts = 0
    for second, (sides, demand, restarted) in enumerate(seconds):
        now_ms = second * 1000
        if restarted < ROUTERS:
            routers[restarted] = make(now_ms)
            restarts += 1
        running = 0
        for router, offered in zip(routers, demand, strict=True):
            open_requests = 0
            for number in range(offered):
                outcome = router.admit("hotel", TOKENS, now_ms + number * 16)
                open_requests += outcome == ADMITTED
            admitted += open_requests * TOKENS
            running += open_requests
            for _ in range(open_requests):
                router.release("hotel")
        assert running <= 2 * LIMIT.max_concurrent + ROUTERS
        exchange(routers, sides, now_ms + 990)
    burst_s = 2 + 2 * restarts / ROUTERS
    bound = 2 * LIMIT.tokens_per_second * (len(seconds) + burst_s)
    assert admitted <= bound + ROUTERS * TOKENS


def test_partitioned_router_stays_within_its_share_of_the_limit():
    """An isolated router must not use the whole limit, since its peers use it too."""
    routers = [make(0) for _ in range(ROUTERS)]
    for second in range(20):
        for router in routers:
            router.admit("hotel", TOKENS, second * 1000)
        exchange(routers, list(range(ROUTERS)), second * 1000)
    assert sum(router.share("hotel") for router in routers) <= 1.0001


def test_account_that_uses_a_single_router_receives_most_of_its_limit():
    routers = [make(0) for _ in range(ROUTERS)]
    admitted = 0
    for second in range(40):
        for number in range(60):
            outcome = routers[0].admit("hotel", TOKENS, second * 1000 + number * 16)
            if outcome == ADMITTED:
                routers[0].release("hotel")
                admitted += TOKENS * (second >= 20)
        exchange(routers, [0] * ROUTERS, second * 1000 + 990)
    assert admitted >= 0.7 * LIMIT.tokens_per_second * 20


def test_large_requests_are_served_like_small_ones_at_the_limit():
    """Guards against long prompts that starve beside many short ones.

    An account sends twice its rate, a twentieth of its requests with 40 times the
    tokens of the others.
    """
    terms = AllotmentTerms(window_s=8.0, overshoot=0.1, slack=190_000.0)
    allotments, rng = Allotments(terms), random.Random(1)
    allotment = Allotment(500_000.0, 500_000.0, True, 200)
    allotments.update({"hotel": allotment}, 0)
    served, asked, per_ms = {400: 0, 17_000: 0}, {400: 0, 17_000: 0}, 0.82
    used = []
    for number in range(int(20_000 * per_ms)):
        now_ms = round(number / per_ms)
        amount = 17_000 if rng.random() < 0.05 else 400
        asked[amount] += 1
        if not allotments.take("hotel", amount, now_ms):
            served[amount] += 1
            used.append((now_ms, amount))
    parts = {amount: served[amount] / asked[amount] for amount in asked}
    assert parts[17_000] > 0.8 * parts[400]
    in_window = sum(amount for now_ms, amount in used if 10_000 <= now_ms < 18_000)
    margin = terms.margin(allotment)
    assert 0.9 * 4_000_000 <= in_window <= 4_500_000 + margin
