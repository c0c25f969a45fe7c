"""Rules of a planned stop."""

from dataclasses import dataclass
from typing import Literal

from mustardtrack.logs import define_event, log_event, require_invariant
from mustardtrack.requests.refusals import Ran, Refusal, refuse

STOP_PHASE = define_event(7040, "INFO", "planned stop entered a phase")
REQUEST_INTERRUPTED = define_event(7041, "WARNING", "request interrupted by a stop")
STOP_INTERRUPTS = define_event(
    7042, "ERROR", "planned stop finished while requests were open"
)
WITHDRAWN_TOO_SHORT = define_event(
    7043, "ERROR", "new work refused before the issued discovery responses expired"
)
DISPATCH_AFTER_STOP = define_event(
    7044, "ERROR", "request dispatched after a stop reported it as interrupted"
)

Phase = Literal["serving", "withdrawn", "refusing", "finished"]
Cause = Literal["second_signal", "time_limit"]


@dataclass(frozen=True)
class Interrupted:
    """One request that a forced stop interrupts."""

    request_id: str
    account: str
    ran: Ran

    @property
    def refusal(self) -> Refusal:
        """Refusal to send to the caller before its connection is closed."""
        dispatched = self.ran == "unknown"
        reason = "stopped_in_flight" if dispatched else "stopped_before_dispatch"
        return refuse(reason, dispatched=dispatched)


@dataclass(frozen=True)
class ForcedStop:
    """Result of ending a stop early."""

    cause: Cause
    interrupted: tuple[Interrupted, ...]

    @property
    def exit_status(self) -> int:
        """Status of the process: 0 only if no request was interrupted."""
        return 1 if self.interrupted else 0


@dataclass
class _OpenRequest:
    account: str
    dispatched: bool = False


class PlannedStop:
    """Phases of a router from serving to finished.

    Discovery responses that list this router may be issued by peers until they
    learn of the withdrawal, at the latest when the last lease on this router's
    heartbeat expires. Such a response is used until its time to live ends, so new
    work is accepted for the sum of both.

    Args:
        lease_ms: Lease of a router heartbeat.
        discovery_ttl_ms: Time to live of discovery responses.
        limit_ms: Time after which the stop interrupts the remaining requests.

    Examples:
        >>> stop = PlannedStop(lease_ms=3000, discovery_ttl_ms=2000, limit_ms=60000)
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
        self.withdrawn_ms = lease_ms + discovery_ttl_ms
        if limit_ms <= self.withdrawn_ms:
            raise ValueError(
                f"stop limit of {limit_ms} ms ends before discovery responses expire, "
                f"use more than {self.withdrawn_ms} ms"
            )
        self.limit_ms = limit_ms
        self.phase: Phase = "serving"
        self.forced: ForcedStop | None = None
        self._open: dict[str, _OpenRequest] = {}
        self._began_ms = 0

    @property
    def discoverable(self) -> bool:
        """Whether heartbeats and discovery responses may list this router."""
        return self.phase == "serving"

    @property
    def open_requests(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._open)

    def open(self, request_id: str, account: str) -> bool:
        """Register a new request.

        Returns:
            False if new work is refused; answer with the reason ``stopping``.
        """
        if self.phase not in ("serving", "withdrawn"):
            return False
        self._open[request_id] = _OpenRequest(account)
        return True

    def mark_dispatched(self, request_id: str) -> None:
        """Record that a byte of the request is about to be sent to an endpoint.

        Raises:
            InvariantViolationError: If the request is not open, for example because
                a forced stop reported it as not run. Do not send the byte.
        """
        require_invariant(
            request_id in self._open, DISPATCH_AFTER_STOP, request=request_id
        )
        self._open[request_id].dispatched = True

    def close(self, request_id: str) -> None:
        """Record that the caller has the whole answer; unknown ids are ignored."""
        self._open.pop(request_id, None)

    def begin(self, now_ms: int) -> None:
        """Withdraw from discovery; later calls have no effect."""
        if self.phase == "serving":
            self._began_ms = now_ms
            self._enter("withdrawn")

    def advance(self, now_ms: int) -> Phase:
        """Enter the phases that are due and return the current one."""
        elapsed_ms = now_ms - self._began_ms
        if self.phase == "withdrawn" and elapsed_ms >= self.withdrawn_ms:
            self._refuse_new_work(elapsed_ms)
        if self.phase == "refusing" and not self._open:
            self._finish()
        if self.phase == "refusing" and elapsed_ms >= self.limit_ms:
            self.force("time_limit")
        return self.phase

    def force(self, cause: Cause) -> ForcedStop:
        """End the stop now and list the requests that this interrupts.

        A repeated call returns the list of the first one.
        """
        if self.forced is None:
            rows = sorted(self._open.items())
            self.forced = ForcedStop(cause, tuple(_interrupt(*row) for row in rows))
            self._open.clear()
            if self.phase != "finished":
                self._enter("finished")
        return self.forced

    def _refuse_new_work(self, elapsed_ms: int) -> None:
        require_invariant(
            elapsed_ms >= self.withdrawn_ms, WITHDRAWN_TOO_SHORT, elapsed_ms=elapsed_ms
        )
        self._enter("refusing")

    def _finish(self) -> None:
        require_invariant(not self._open, STOP_INTERRUPTS, open=sorted(self._open))
        self._enter("finished")

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log_event(STOP_PHASE, phase=phase, open=len(self._open))


def _interrupt(request_id: str, request: _OpenRequest) -> Interrupted:
    ran: Ran = "unknown" if request.dispatched else "not_run"
    log_event(REQUEST_INTERRUPTED, request=request_id, ran=ran)
    return Interrupted(request_id, request.account, ran)
