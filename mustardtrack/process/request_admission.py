"""Admission of the requests that callers send to a router with seeds."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mustardtrack.adapters.h11_server import Exchange
from mustardtrack.admission.retryafter import CRASHES_ENDPOINTS, CRASHING_PARTS
from mustardtrack.admission.schedulinglag import SchedulingLag, shorten_limit
from mustardtrack.configuration.routes import Route, RouteAccount, RouteTable
from mustardtrack.platform.headers import RequestMetadata
from mustardtrack.process.attempt_state import AdmittedRequest
from mustardtrack.process.control_sync import ControlSync
from mustardtrack.requests.forwarding import ForwardedRequest
from mustardtrack.requests.shutdown_window import ShutdownWindow
from mustardtrack.requests.time_limits import RequestTimeLimit
from mustardtrack.routing.localplacement import Prompt

# An endpoint cannot answer in less time, so the request is not sent.
MIN_TIME_LEFT_MS = 20
# Refusal reason of requests that this router has no processor time for.
ROUTER_BUSY = "router_busy"


@dataclass(frozen=True)
class Rejection:
    """Why a request is not admitted; nothing of it was sent to an endpoint.

    Attributes:
        reason: Refusal reason, or the sentence of a response with status 4xx.
        status: HTTP status.
        has_retry_after: Whether the caller may return.
        pause_ms: Time after which the caller may return, None for the default of the
            reason.
        fields: Further fields of the log line.
    """

    reason: str
    status: int = 503
    has_retry_after: bool = True
    pause_ms: int | None = None
    fields: dict[str, object] = field(default_factory=dict)


Check = Callable[[AdmittedRequest, int], Rejection | None]


class RequestAdmission:
    """Matches requests to routes and accounts, and refuses those that cannot be served.

    Args:
        control_sync: State from the control hosts.
        lag: Delay with which this process gets the processor.
        rng: Draws the services of traffic splits.
    """

    def __init__(
        self, control_sync: ControlSync, lag: SchedulingLag, rng: random.Random
    ):
        self._control_sync = control_sync
        self._lag = lag
        self._rng = rng
        self._shutdown: ShutdownWindow | None = None
        # The first check that rejects a request ends its admission.
        self.checks: list[Check] = [
            self._check_crashes,
            self._check_parts,
            self._check_shutdown,
            self._check_lag,
        ]

    def begin_stop(self, window: ShutdownWindow) -> None:
        """Refuse the requests that cannot end within the window."""
        self._shutdown = window

    def admit(
        self, exchange: Exchange, metadata: RequestMetadata, now_ms: int
    ) -> AdmittedRequest | Rejection:
        """Return the admitted request, or why it is not admitted."""
        table = self._control_sync.view.table
        if table is None or not self._control_sync.is_confirmed():
            return Rejection("unconfirmed")
        route = table.match(metadata.host, metadata.path)
        if route is None:
            return Rejection("no route matches host and path", 404, False)
        account = None
        if table.accounts is not None and not route.is_public:
            account = table.accounts.get(metadata.key) if metadata.key else None
            if account is None:
                return Rejection("the key is missing or unknown", 401, False)
        admitted = self._build_request(
            exchange, metadata, table, route, account, now_ms
        )
        for check in self.checks:
            rejection = check(admitted, now_ms)
            if rejection is not None:
                rejection.fields.setdefault("route", route.name)
                return rejection
        return admitted

    def _build_request(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        table: RouteTable,
        route: Route,
        account: RouteAccount | None,
        now_ms: int,
    ) -> AdmittedRequest:
        service = table.services[route.choose_service(self._rng)]
        prompt = None
        version = 1
        if service.engine is not None and metadata.model:
            prefix_parts = metadata.parts[:-1]
            prompt = Prompt(
                model=metadata.model,
                prefix_id=",".join(part.digest for part in prefix_parts),
                prefix_tokens=sum(part.tokens for part in prefix_parts),
                tokens=metadata.prompt_tokens,
            )
            version = self._control_sync.view.weights.get(metadata.model, 1)
        rank = route.rank
        if account is not None and account.rank is not None:
            rank = account.rank
        amount = 0
        if account is not None and account.allotment is not None:
            amount = account.allotment.amount(
                metadata.prompt_tokens, metadata.max_output_tokens
            )
        timeout_ms = shorten_limit(route.timeout_ms, self._lag.value_ms(now_ms))
        return AdmittedRequest(
            exchange=exchange,
            metadata=metadata,
            table=table,
            route=route,
            account=account,
            service=service,
            prompt=prompt,
            received_ms=now_ms,
            time_limit=RequestTimeLimit.of(timeout_ms, metadata.time_left_ms),
            progress=ForwardedRequest(route),
            weights_version=version,
            rank=rank,
            allotment_amount=amount,
        )

    def _check_crashes(
        self, admitted: AdmittedRequest, now_ms: int
    ) -> Rejection | None:
        is_refused = admitted.is_refused(self._control_sync.view.refused)
        return Rejection(CRASHES_ENDPOINTS) if is_refused else None

    def _check_parts(self, admitted: AdmittedRequest, now_ms: int) -> Rejection | None:
        refusal = self._control_sync.view.parts.find_refused(admitted.part_names)
        if refusal is None:
            return None
        fields: dict[str, object] = {
            "parts": refusal.parts,
            "crashes": refusal.crashes,
            "last_crash_age_ms": refusal.last_crash_age_ms,
        }
        return Rejection(CRASHING_PARTS, fields=fields)

    def _check_shutdown(
        self, admitted: AdmittedRequest, now_ms: int
    ) -> Rejection | None:
        window = self._shutdown
        if window is None or window.accepts(now_ms, admitted.deadline_ms):
            return None
        left_ms = admitted.deadline_ms - now_ms
        return Rejection("stopping", fields={"left_ms": left_ms})

    def _check_lag(self, admitted: AdmittedRequest, now_ms: int) -> Rejection | None:
        """Refuse a request whose time limit this router would notice too late."""
        lag_ms = self._lag.value_ms(now_ms)
        timeout_ms = admitted.route.timeout_ms
        left_ms = shorten_limit(timeout_ms, lag_ms)
        if left_ms == timeout_ms or left_ms >= MIN_TIME_LEFT_MS:
            return None
        return Rejection(ROUTER_BUSY, pause_ms=lag_ms, fields={"lag_ms": lag_ms})
