"""Retry budgets, which keep retries from amplifying an overload."""

from mustardtrack.ports.metrics import Metrics

DEFAULT_FRACTION = 0.1
DEFAULT_INITIAL_BALANCE = 3.0
MAX_BALANCE = 20.0


class RetryBudget:
    """Limits retries to a fraction of first attempts.

    A first attempt at an endpoint adds ``fraction`` of a retry to the budget of
    that endpoint and to the budget of this router. A retry is taken from the
    budget of the endpoint that failed and from that of the router. Over any period,
    retries are at most ``fraction`` of first attempts plus ``MAX_BALANCE``.

    Examples:
        >>> budget = RetryBudget(fraction=0.5, initial_balance=0.0)
        >>> budget.first_attempt("engine-1")
        >>> budget.allow_retry("engine-1", "connection_lost")
        False
        >>> budget.first_attempt("engine-1")
        >>> budget.allow_retry("engine-1", "connection_lost")
        True
    """

    def __init__(
        self,
        fraction: float = DEFAULT_FRACTION,
        initial_balance: float = DEFAULT_INITIAL_BALANCE,
        metrics: Metrics | None = None,
    ):
        self._fraction = fraction
        self._initial_balance = initial_balance
        self._metrics = metrics
        self._router_balance = initial_balance
        self._endpoint_balances: dict[str, float] = {}

    def first_attempt(self, endpoint: str) -> None:
        """Count a first attempt at an endpoint."""
        balance = (
            self._endpoint_balances.get(endpoint, self._initial_balance)
            + self._fraction
        )
        self._endpoint_balances[endpoint] = min(MAX_BALANCE, balance)
        self._router_balance = min(MAX_BALANCE, self._router_balance + self._fraction)

    def allow_retry(self, failed_endpoint: str, reason: str) -> bool:
        """Take one retry from both budgets if both allow it.

        Args:
            failed_endpoint: Endpoint of the attempt that failed.
            reason: Cause, counted as ``retry.<reason>`` or ``retry.denied``.
        """
        balance = self._endpoint_balances.get(failed_endpoint, self._initial_balance)
        allowed = balance >= 1.0 and self._router_balance >= 1.0
        if allowed:
            self._endpoint_balances[failed_endpoint] = balance - 1.0
            self._router_balance -= 1.0
        if self._metrics is not None:
            self._metrics.count(f"retry.{reason}" if allowed else "retry.denied")
        return allowed

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove the budget of an endpoint that was removed."""
        self._endpoint_balances.pop(endpoint, None)
