"""Guards against limits exceeded through router restarts and partitions."""

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.admission import ADMITTED, AccountLimits, Limit

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
