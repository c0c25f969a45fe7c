"""Open attempts and validation of responses against them."""

from collections import Counter, OrderedDict
from dataclasses import dataclass

from mustardtrack.logs import define_event, log_event

RESPONSE_LATE = define_event(
    7010, "WARNING", "late response to a finished attempt rejected"
)
RESPONSE_MISMATCHED = define_event(
    7011, "ERROR", "response for another attempt, request or account rejected"
)
CONNECTION_CLOSED = define_event(
    7012, "WARNING", "connection closed after a rejected response"
)

MAX_FINISHED_ATTEMPTS = 4096


@dataclass(frozen=True)
class Attempt:
    """One dispatch of a request to an endpoint."""

    attempt_id: str
    request_id: str
    account: str
    endpoint: str
    incarnation: str
    started_ms: int


class AttemptTracker:
    """Tracks the open attempts of one router.

    A response is matched by the attempt id that the endpoint echoes. Attempt ids
    derive from request ids, which must therefore be unique across all routers.

    Examples:
        >>> tracker = AttemptTracker()
        >>> attempt = tracker.start("r1", "acme", "engine-1", "a", now_ms=0)
        >>> attempt.attempt_id
        'r1.1'
        >>> tracker.accept("r1.1", "r1", "acme")
        True
        >>> tracker.accept("r1.1", "r2", "acme")
        False
    """

    def __init__(self) -> None:
        self.rejection_counts: Counter[str] = Counter()
        self._open: dict[str, Attempt] = {}
        self._attempt_counts: Counter[str] = Counter()
        self._finished: OrderedDict[str, None] = OrderedDict()

    def start(
        self,
        request_id: str,
        account: str,
        endpoint: str,
        incarnation: str,
        now_ms: int,
    ) -> Attempt:
        """Open the next attempt of a request; attempts are numbered from 1."""
        self._attempt_counts[request_id] += 1
        attempt_id = f"{request_id}.{self._attempt_counts[request_id]}"
        attempt = Attempt(
            attempt_id, request_id, account, endpoint, incarnation, now_ms
        )
        self._open[attempt_id] = attempt
        return attempt

    def accept(self, attempt_id: str, request_id: str, account: str) -> bool:
        """Return whether a response belongs to the request of a waiting caller.

        Args:
            attempt_id: The attempt id that the response carries.
            request_id: The request that is pending on the connection.
            account: The client account of that request.

        Returns:
            False if the response belongs to a finished attempt or to another
            attempt, request or account. The connection that carried it must then
            be closed, see :meth:`connection_closed`.
        """
        attempt = self._open.get(attempt_id)
        if attempt is None:
            self._reject(attempt_id, request_id)
            return False
        if (attempt.request_id, attempt.account) != (request_id, account):
            self.rejection_counts["foreign"] += 1
            log_event(RESPONSE_MISMATCHED, attempt=attempt_id, request=request_id)
            return False
        return True

    def connection_closed(self, endpoint: str, request_id: str) -> None:
        """Record that the connection of a rejected response was closed."""
        self.rejection_counts["connection_closed"] += 1
        log_event(CONNECTION_CLOSED, endpoint=endpoint, request=request_id)

    def finish(self, attempt_id: str) -> Attempt | None:
        """Finish an attempt; later responses to it are rejected as late."""
        attempt = self._open.pop(attempt_id, None)
        if attempt is not None:
            self._finished[attempt_id] = None
            if len(self._finished) > MAX_FINISHED_ATTEMPTS:
                self._finished.popitem(last=False)
        return attempt

    def finish_request(self, request_id: str) -> None:
        """Finish all attempts of a request and drop its attempt counter."""
        for number in range(1, self._attempt_counts.pop(request_id, 0) + 1):
            self.finish(f"{request_id}.{number}")

    def open_attempts(self, endpoint: str | None = None) -> list[Attempt]:
        """Return the open attempts, optionally only those at one endpoint."""
        attempts = self._open.values()
        return [attempt for attempt in attempts if endpoint in (None, attempt.endpoint)]

    def _reject(self, attempt_id: str, request_id: str) -> None:
        is_late = attempt_id in self._finished
        self.rejection_counts["late" if is_late else "foreign"] += 1
        event = RESPONSE_LATE if is_late else RESPONSE_MISMATCHED
        log_event(event, attempt=attempt_id, request=request_id)
