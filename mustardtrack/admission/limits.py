"""Client account limits, divided among routers that exchange usage."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mustardtrack.admission.outcomes import ADMITTED, Admitted, Refused
from mustardtrack.ports.metrics import Metrics

EXCHANGE_INTERVAL_MS = 1000
PEER_LEASE_MS = 3000
BURST_MS = 2000
EVEN_FRACTION = 0.25
MAX_RETRY_MS = 60_000

# Admitted requests and tokens, by account.
Usage = Mapping[str, tuple[int, int]]


@dataclass(frozen=True)
class Limit:
    """Limits of one account; 0 means unlimited."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    max_concurrent: int = 0


@dataclass
class _AccountState:
    requests: float
    tokens: float
    refilled_ms: int
    concurrent: int = 0
    unannounced: tuple[int, int] = (0, 0)
    announced_usage: float = 0.0
    effective_usage: float = 0.0
    share: float = 0.0


@dataclass
class _Peer:
    last_heard_ms: int
    usage: dict[str, float] = field(default_factory=dict)


class AccountLimits:
    """This router's share of the limits of each account.

    Of ``routers`` configured routers, those heard from within ``PEER_LEASE_MS``
    and this one form a group of ``k``. The group uses ``k / routers`` of each
    limit; within it a quarter is divided evenly and the rest by recent usage. The
    shares of groups separated by a partition therefore add up to at most one limit.

    Error bound: a change of demand is visible to peers one exchange later, so the
    shares add up to one only when all routers use the same announcements. This
    router applies its own announcement one exchange late, when its peers have
    received it too. While announcements are lost or delayed by more than
    ``EXCHANGE_INTERVAL_MS``, the sum of the shares is below two when demand moves
    between routers, and each router can spend ``BURST_MS`` of its share at once.
    The concurrency share is rounded up, so the sum can exceed the limit by one
    request per router.

    Examples:
        >>> limits = AccountLimits(routers=1)
        >>> limits.set_limit("hotel", Limit(requests_per_second=1.0), now_ms=0)
        >>> [limits.admit("hotel", 10, now_ms=0) for _ in range(3)][-1].reason
        'request_rate'
    """

    def __init__(self, routers: int, metrics: Metrics | None = None):
        self._routers = routers
        self._metrics = metrics
        self._limits: dict[str, Limit] = {}
        self._accounts: dict[str, _AccountState] = {}
        self._peers: dict[str, _Peer] = {}

    def set_limit(self, account: str, limit: Limit, now_ms: int) -> None:
        """Set or change the limits of an account."""
        is_known = account in self._limits
        self._limits[account] = limit
        if not is_known:
            router_burst_s = BURST_MS / 1000 / self._routers
            self._accounts[account] = _AccountState(
                requests=max(1.0, limit.requests_per_second * router_burst_s),
                tokens=limit.tokens_per_second * router_burst_s,
                refilled_ms=now_ms,
                share=1.0 / self._routers,
            )

    def remove_limit(self, account: str) -> None:
        """Remove the limits of an account."""
        self._limits.pop(account, None)
        self._accounts.pop(account, None)

    def admit(self, account: str, tokens: int, now_ms: int) -> Admitted | Refused:
        """Admit one request of ``tokens`` and charge it, or refuse it.

        A request is admitted while the token balance is positive and may overdraw
        it; otherwise a request larger than the burst would always be refused.
        """
        limit = self._limits.get(account)
        if limit is None:
            return ADMITTED
        state = self._accounts[account]
        self._refill(state, limit, now_ms)
        refused = self._find_exceeded_limit(state, limit)
        if refused is not None:
            return refused
        state.requests -= 1.0
        state.tokens -= tokens
        state.concurrent += 1
        state.unannounced = (state.unannounced[0] + 1, state.unannounced[1] + tokens)
        return ADMITTED

    def release(self, account: str) -> None:
        """Record the end of an admitted request."""
        state = self._accounts.get(account)
        if state is not None and state.concurrent > 0:
            state.concurrent -= 1

    def announce(self, now_ms: int) -> dict[str, tuple[int, int]]:
        """Return requests and tokens admitted per account since the last call.

        Must be called once per exchange, with the result sent to all peers.
        """
        result = {}
        for account, state in self._accounts.items():
            if state.unannounced != (0, 0):
                result[account] = state.unannounced
            # The previous announcement takes effect now; see the error bound above.
            state.effective_usage = state.announced_usage
            state.announced_usage = _smooth(state.announced_usage, state.unannounced)
            state.unannounced = (0, 0)
            state.share = self._share(account, state, now_ms)
        return result

    def record_peer_usage(self, peer: str, usage: Usage, now_ms: int) -> None:
        """Record the announcement of a peer; an empty one renews its lease."""
        peer_state = self._peers.setdefault(peer, _Peer(now_ms))
        peer_state.last_heard_ms = now_ms
        for account in peer_state.usage.keys() | usage.keys():
            peer_state.usage[account] = _smooth(
                peer_state.usage.get(account, 0.0), usage.get(account, (0, 0))
            )

    def share(self, account: str) -> float:
        """Return the fraction of the account's limits that this router may use."""
        state = self._accounts.get(account)
        return state.share if state is not None else 1.0

    def _share(self, account: str, state: _AccountState, now_ms: int) -> float:
        heard = [
            peer
            for peer in self._peers.values()
            if now_ms - peer.last_heard_ms <= PEER_LEASE_MS
        ]
        group_size = min(self._routers, 1 + len(heard))
        total = state.effective_usage + sum(
            peer.usage.get(account, 0.0) for peer in heard
        )
        by_usage = state.effective_usage / total if total > 1e-3 else 1.0 / group_size
        share_in_group = EVEN_FRACTION / group_size + (1 - EVEN_FRACTION) * by_usage
        return group_size / self._routers * share_in_group

    def _refill(self, state: _AccountState, limit: Limit, now_ms: int) -> None:
        elapsed_s = max(0, now_ms - state.refilled_ms) / 1000
        state.refilled_ms = max(now_ms, state.refilled_ms)
        rates = (limit.requests_per_second, limit.tokens_per_second)
        request_rate, token_rate = (rate * state.share for rate in rates)
        burst_s = BURST_MS / 1000
        state.requests = min(
            max(1.0, request_rate * burst_s), state.requests + request_rate * elapsed_s
        )
        state.tokens = min(token_rate * burst_s, state.tokens + token_rate * elapsed_s)

    def _find_exceeded_limit(
        self, state: _AccountState, limit: Limit
    ) -> Refused | None:
        concurrent = -(-limit.max_concurrent * state.share // 1)
        if limit.max_concurrent and state.concurrent >= max(1, concurrent):
            return self._refuse("concurrency", EXCHANGE_INTERVAL_MS)
        if limit.requests_per_second and state.requests < 1.0:
            rate = limit.requests_per_second * state.share
            return self._refuse("request_rate", _wait_ms(1.0 - state.requests, rate))
        if limit.tokens_per_second and state.tokens <= 0.0:
            rate = limit.tokens_per_second * state.share
            return self._refuse("token_rate", _wait_ms(1.0 - state.tokens, rate))
        return None

    def _refuse(self, reason: str, retry_after_ms: int) -> Refused:
        if self._metrics is not None:
            self._metrics.count(f"refusal.{reason}")
        return Refused(reason, retry_after_ms)


def _smooth(before: float, admitted: tuple[int, int]) -> float:
    # A request counts as 100 tokens, so that limits on requests alone are also
    # divided by usage.
    return 0.5 * before + 0.5 * (admitted[1] + 100 * admitted[0])


def _wait_ms(amount: float, per_second: float) -> int:
    return min(MAX_RETRY_MS, int(1000 * amount / max(per_second, 1e-6)) + 1)
