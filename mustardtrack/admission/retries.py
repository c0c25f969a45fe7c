"""Budgets that keep retries from amplifying an overload."""

from mustardtrack.ports.metrics import Metrics

DEFAULT_FRACTION = 0.1
DEFAULT_RESERVE = 3.0
LARGEST_BALANCE = 20.0


class RetryBudget:
    """Limits retries to a fraction of first attempts.

    A first attempt at an endpoint earns ``fraction`` of a retry in the budget
    of that endpoint and in the budget of this router; a retry needs one from
    the endpoint that failed and one from the router. Over any period, retries
    are at most ``fraction`` of first attempts plus ``LARGEST_BALANCE``.

    Examples:
        >>> budget = RetryBudget(fraction=0.5, reserve=0.0)
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
        reserve: float = DEFAULT_RESERVE,
        metrics: Metrics | None = None,
    ):
        self._fraction = fraction
        self._reserve = reserve
        self._metrics = metrics
        self._router = reserve
        self._endpoints: dict[str, float] = {}

    def first_attempt(self, endpoint: str) -> None:
        """Count a first attempt at an endpoint."""
        balance = self._endpoints.get(endpoint, self._reserve) + self._fraction
        self._endpoints[endpoint] = min(LARGEST_BALANCE, balance)
        self._router = min(LARGEST_BALANCE, self._router + self._fraction)

    def allow_retry(self, failed_endpoint: str, reason: str) -> bool:
        """Take one retry from both budgets if both have one.

        Args:
            failed_endpoint: Endpoint of the attempt that failed.
            reason: Cause, counted as ``retry.<reason>`` or ``retry.denied``.
        """
        balance = self._endpoints.get(failed_endpoint, self._reserve)
        allowed = balance >= 1.0 and self._router >= 1.0
        if allowed:
            self._endpoints[failed_endpoint] = balance - 1.0
            self._router -= 1.0
        if self._metrics is not None:
            self._metrics.count(f"retry.{reason}" if allowed else "retry.denied")
        return allowed

    def forget(self, endpoint: str) -> None:
        """Drop the budget of an endpoint that was removed."""
        self._endpoints.pop(endpoint, None)
