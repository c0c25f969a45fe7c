"""Graceful shutdown of a router."""

from dataclasses import dataclass
from typing import Literal

from mustardtrack.logs import define_event, log_event, require_invariant
from mustardtrack.requests.refusals import Refusal, RunStatus, refuse

SHUTDOWN_PHASE = define_event(7040, "INFO", "graceful shutdown entered a phase")
REQUEST_INTERRUPTED = define_event(
    7041, "WARNING", "request interrupted by a forced shutdown"
)
SHUTDOWN_WITH_OPEN_REQUESTS = define_event(
    7042, "ERROR", "graceful shutdown finished with open requests"
)
REFUSED_BEFORE_EXPIRY = define_event(
    7043, "ERROR", "new requests refused before issued discovery responses expired"
)
DISPATCH_AFTER_INTERRUPTION = define_event(
    7044, "ERROR", "request dispatched after a forced shutdown interrupted it"
)

Phase = Literal["serving", "withdrawn", "refusing", "finished"]
Cause = Literal["second_signal", "time_limit"]


@dataclass(frozen=True)
class InterruptedRequest:
    """One request that a forced shutdown interrupts."""

    request_id: str
    account: str
    ran: RunStatus

    @property
    def refusal(self) -> Refusal:
        """Refusal sent to the caller before its connection is closed."""
        dispatched = self.ran == "unknown"
        reason = "stopped_in_flight" if dispatched else "stopped_before_dispatch"
        return refuse(reason, dispatched=dispatched)


@dataclass(frozen=True)
class ForcedShutdown:
    """Result of a shutdown that was forced before all requests completed."""

    cause: Cause
    interrupted: tuple[InterruptedRequest, ...]

    @property
    def exit_status(self) -> int:
        """Process exit status: 0 only if no request was interrupted."""
        return 1 if self.interrupted else 0


@dataclass
class _OpenRequest:
    account: str
    dispatched: bool = False


class GracefulShutdown:
    """State machine of a router shutdown, from serving to finished.

    Peers may issue discovery responses that list this router until they learn of
    its withdrawal, at the latest when the lease of its last heartbeat expires.
    Callers use such a response until its time to live ends. New requests are
    therefore accepted for the sum of both durations.

    Args:
        lease_ms: Lease duration of a router heartbeat.
        discovery_ttl_ms: Time to live of discovery responses.
        limit_ms: Time after which the remaining requests are interrupted.

    Examples:
        >>> stop = GracefulShutdown(
        ...     lease_ms=3000, discovery_ttl_ms=2000, limit_ms=60000
        ... )
        >>> stop.open("r1", "acme")
        True
        >>> stop.begin(now_ms=0)
        >>> stop.advance(4999), stop.open("r2", "acme"), stop.advance(5000)
        ('withdrawn', True, 'refusing')
        >>> stop.open("r3", "acme"), stop.close("r1"), stop.close("r2")
        (False, None, None)
        >>> stop.advance(5001)
        'finished'
    """

    def __init__(self, lease_ms: int, discovery_ttl_ms: int, limit_ms: int):
        self.discovery_expiry_ms = lease_ms + discovery_ttl_ms
        if limit_ms <= self.discovery_expiry_ms:
            raise ValueError(
                f"shutdown limit of {limit_ms} ms ends before discovery responses "
                f"expire, use more than {self.discovery_expiry_ms} ms"
            )
        self.limit_ms = limit_ms
        self.phase: Phase = "serving"
        self.forced: ForcedShutdown | None = None
        self._open: dict[str, _OpenRequest] = {}
        self._shutdown_start_ms = 0

    @property
    def discoverable(self) -> bool:
        """Whether heartbeats and discovery responses may list this router."""
        return self.phase == "serving"

    @property
    def open_requests(self) -> int:
        """Number of requests that are not completely answered."""
        return len(self._open)

    def open(self, request_id: str, account: str) -> bool:
        """Register a new request.

        Returns:
            False if new requests are refused; refuse with the reason ``stopping``.
        """
        if self.phase not in ("serving", "withdrawn"):
            return False
        self._open[request_id] = _OpenRequest(account)
        return True

    def mark_dispatched(self, request_id: str) -> None:
        """Record that a byte of the request is about to be sent to an endpoint.

        Raises:
            InvariantViolationError: If the request is not open, for example because
                a forced shutdown reported it as not run. The byte must not be sent.
        """
        require_invariant(
            request_id in self._open, DISPATCH_AFTER_INTERRUPTION, request=request_id
        )
        self._open[request_id].dispatched = True

    def close(self, request_id: str) -> None:
        """Record that the answer is completely sent; unknown ids are ignored."""
        self._open.pop(request_id, None)

    def begin(self, now_ms: int) -> None:
        """Start the shutdown by withdrawing from discovery; idempotent."""
        if self.phase == "serving":
            self._shutdown_start_ms = now_ms
            self._enter_phase("withdrawn")

    def advance(self, now_ms: int) -> Phase:
        """Perform the phase transitions that are due and return the current phase."""
        elapsed_ms = now_ms - self._shutdown_start_ms
        if self.phase == "withdrawn" and elapsed_ms >= self.discovery_expiry_ms:
            self._refuse_new_requests(elapsed_ms)
        if self.phase == "refusing" and not self._open:
            self._finish_drained()
        if self.phase == "refusing" and elapsed_ms >= self.limit_ms:
            self.force("time_limit")
        return self.phase

    def force(self, cause: Cause) -> ForcedShutdown:
        """Finish immediately and return the requests that this interrupts.

        Repeated calls return the result of the first one.
        """
        if self.forced is None:
            open_requests = sorted(self._open.items())
            self.forced = ForcedShutdown(
                cause, tuple(_interrupt(*item) for item in open_requests)
            )
            self._open.clear()
            if self.phase != "finished":
                self._enter_phase("finished")
        return self.forced

    def _refuse_new_requests(self, elapsed_ms: int) -> None:
        require_invariant(
            elapsed_ms >= self.discovery_expiry_ms,
            REFUSED_BEFORE_EXPIRY,
            elapsed_ms=elapsed_ms,
        )
        self._enter_phase("refusing")

    def _finish_drained(self) -> None:
        require_invariant(
            not self._open, SHUTDOWN_WITH_OPEN_REQUESTS, open=sorted(self._open)
        )
        self._enter_phase("finished")

    def _enter_phase(self, phase: Phase) -> None:
        self.phase = phase
        log_event(SHUTDOWN_PHASE, phase=phase, open=len(self._open))


def _interrupt(request_id: str, request: _OpenRequest) -> InterruptedRequest:
    ran: RunStatus = "unknown" if request.dispatched else "not_run"
    log_event(REQUEST_INTERRUPTED, request=request_id, ran=ran)
    return InterruptedRequest(request_id, request.account, ran)
