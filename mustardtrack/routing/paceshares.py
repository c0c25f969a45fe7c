"""A router's share of the windows of endpoints that have yet to show their health.

Load pattern: dozens of routers each see a small part of the traffic of an endpoint that
has just recovered. Each uses only its share of the window that the leader holds
(:mod:`mustardtrack.routing.pace`) and reports what it sees. A router out of touch with
the leader goes on from its share by the same rule.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.pace import EndpointPace
from mustardtrack.routing.pacemessages import PaceReport, PaceShare

# Time without a reply of the leader after which a router finds the pace itself. Routers
# ask every 0.4 s.
OUT_OF_TOUCH_MS = 1500
# Weight of an answer in the average answer time of a service.
ANSWER_EWMA_WEIGHT = 0.05
MIN_EXPECTED_MS = 1.0
# Ratios are reported with two digits after the point.
RATIO_DIGITS = 2


@dataclass
class _Held:
    """Share that a router holds, and the pace that it finds itself when cut off."""

    share: PaceShare
    received_ms: int
    own: EndpointPace | None = None


@dataclass
class _Seen:
    started_ms: int
    ratios: list[float] = field(default_factory=list)
    refused: int = 0
    failed: int = 0


class PaceShares:
    """What one router may send to endpoints whose pace is being found.

    Args:
        is_enabled: Whether the deployment has adaptive slow start.
    """

    def __init__(self, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._held: dict[str, _Held] = {}
        self._seen: dict[str, _Seen] = {}
        self._expected_ms: dict[str, float] = {}
        self._started_ms: dict[str, int] = {}
        self._heard_ms = 0
        self._reports_windows = False

    def adopt(self, shares: Mapping[str, PaceShare], now_ms: int) -> None:
        """Replace all shares by those in a reply of the leader."""
        self._heard_ms = now_ms
        self._held = {one: _Held(share, now_ms) for one, share in shares.items()}

    def record_list(self, endpoints: Iterable[ListedEndpoint], now_ms: int) -> None:
        """Send nothing to what has just joined until the leader has shared it out.

        Lists also come from control hosts that do not lead, before the leader's reply.
        The endpoints of the first list may have worked for long.
        """
        if not self._is_enabled:
            return
        before = self._started_ms
        self._started_ms = {one.id: one.started_ms for one in endpoints}
        for one, started_ms in self._started_ms.items():
            if before and before.get(one) != started_ms:
                self._held[one] = _Held(PaceShare(started_ms, 1.0, 0), now_ms)

    def is_paced(self, listed: ListedEndpoint) -> bool:
        """Return whether the pace of this incarnation is being found."""
        held = self._held.get(listed.id)
        return held is not None and held.share.started_ms == listed.started_ms

    def open_endpoints(
        self, endpoints: list[EndpointState], may_probe: bool, now_ms: int
    ) -> list[EndpointState]:
        """Return the endpoints with room, else those that are not closed, else all.

        Args:
            endpoints: Endpoints that all other rules allow.
            may_probe: Whether the request is a first attempt that may be repeated.
            now_ms: Monotonic time.
        """
        if not self._held:
            return endpoints
        answering, with_room = [], []
        for state in endpoints:
            held = self._find(state.listed)
            if held is None:
                answering.append(state)
                with_room.append(state)
                continue
            if self._is_closed(held, now_ms):
                continue
            answering.append(state)
            is_allowed = may_probe or self._is_proven(held)
            if is_allowed and state.in_flight < self._room(held, now_ms):
                with_room.append(state)
        return with_room or answering or endpoints

    def find_probe(
        self, endpoints: list[EndpointState], may_probe: bool, now_ms: int
    ) -> EndpointState | None:
        """Return an endpoint to send a request to so that its health shows.

        Its past failures make it look expensive, so that it would stay idle. Requests
        that may not be repeated are never used for it. A router that failed to reach
        an endpoint leaves probes to others while its own backoff lasts: the fault may
        be on its way there.
        """
        if not self._held or not may_probe:
            return None
        for state in endpoints:
            held = self._find(state.listed)
            if held is None or state.in_flight or state.is_backing_off(now_ms):
                continue
            if self._room(held, now_ms):
                return state
        return None

    def _find(self, listed: ListedEndpoint) -> _Held | None:
        held = self._held.get(listed.id)
        if held is None or held.share.started_ms != listed.started_ms:
            return None
        return held

    def _is_cut_off(self, now_ms: int) -> bool:
        return now_ms - self._heard_ms > OUT_OF_TOUCH_MS

    def _is_proven(self, held: _Held) -> bool:
        return held.own.is_proven if held.own is not None else held.share.is_proven

    def _is_closed(self, held: _Held, now_ms: int) -> bool:
        if self._is_cut_off(now_ms):
            return held.own is not None and held.own.is_closed(now_ms)
        return held.share.window <= 0

    def _room(self, held: _Held, now_ms: int) -> int:
        """Return the requests that this router may have at the endpoint."""
        if self._is_cut_off(now_ms):
            is_closed = held.own is not None and held.own.is_closed(now_ms)
            window = held.own.window if held.own is not None else held.share.share
            return 0 if is_closed else max(1, int(window))
        has_extra = now_ms - held.received_ms < held.share.extra_ms
        return held.share.share + (held.share.extra if has_extra else 0)

    def record_answer(
        self,
        listed: ListedEndpoint,
        taken_ms: float,
        expected_ms: float | None,
        objective_ms: int,
        now_ms: int,
        is_paced: bool = False,
    ) -> None:
        """Record an answer without a failure.

        Args:
            listed: Endpoint.
            taken_ms: Time from the request to the first byte of the answer.
            expected_ms: Expected time if the leader placed the request, None to use the
                average of the service.
            objective_ms: Objective of the request, which stands for an average that is
                not known yet.
            now_ms: Monotonic time.
            is_paced: Whether the leader said so with the placement.
        """
        if not self._is_enabled:
            return
        if expected_ms is None:
            expected_ms = self._expected_ms.get(listed.service, float(objective_ms))
        if not is_paced and not self.is_paced(listed):
            change_ms = ANSWER_EWMA_WEIGHT * (taken_ms - expected_ms)
            self._expected_ms[listed.service] = expected_ms + change_ms
            return
        ratio = round(taken_ms / max(MIN_EXPECTED_MS, expected_ms), RATIO_DIGITS)
        self._seen_of(listed).ratios.append(ratio)
        pace = self._own_pace(listed, now_ms)
        if pace is not None:
            pace.record_answer(ratio, now_ms)
            if pace.window >= listed.slots:
                del self._held[listed.id]

    def record_unserved(self, listed: ListedEndpoint, now_ms: int) -> None:
        """Record a request that an endpoint refused or did not answer in time.

        It counts only while the endpoint is paced: others may just have much to do.
        """
        if not self._is_enabled or not self.is_paced(listed):
            return
        self._seen_of(listed).refused += 1
        pace = self._own_pace(listed, now_ms)
        if pace is not None:
            pace.record_refused(now_ms)

    def record_failed(self, listed: ListedEndpoint, now_ms: int) -> None:
        """Record a request that failed at an endpoint."""
        if not self._is_enabled:
            return
        self._seen_of(listed).failed += 1
        pace = self._own_pace(listed, now_ms)
        if pace is not None:
            pace.record_failed(now_ms)

    def _seen_of(self, listed: ListedEndpoint) -> _Seen:
        seen = self._seen.get(listed.id)
        if seen is None or seen.started_ms != listed.started_ms:
            seen = self._seen[listed.id] = _Seen(listed.started_ms)
        return seen

    def _own_pace(self, listed: ListedEndpoint, now_ms: int) -> EndpointPace | None:
        """Return the pace that this router finds itself, None if the leader does."""
        held = self._find(listed)
        if held is None or not self._is_cut_off(now_ms):
            return None
        if held.own is None:
            held.own = EndpointPace(listed, held.share.share, now_ms)
            held.own.is_proven = held.share.is_proven
        return held.own

    def take_report(self) -> dict[str, PaceReport]:
        """Return what was seen since the last report, empty if there is nothing."""
        if not self._seen and not self._reports_windows:
            return {}
        reports = {
            one: PaceReport(seen.started_ms, seen.ratios, seen.refused, seen.failed)
            for one, seen in self._seen.items()
        }
        if self._reports_windows:
            for one, held in self._held.items():
                self._add_window(reports, one, held.share)
        self._seen = {}
        self._reports_windows = False
        return reports

    def _add_window(
        self, reports: dict[str, PaceReport], endpoint_id: str, share: PaceShare
    ) -> None:
        report = reports.get(endpoint_id)
        if report is None or report.started_ms != share.started_ms:
            report = PaceReport(share.started_ms)
        reports[endpoint_id] = _with_window(report, share)

    def report_again(self) -> None:
        """Report the windows held with the next report, to another leader."""
        self._reports_windows = bool(self._held)


def _with_window(report: PaceReport, share: PaceShare) -> PaceReport:
    return PaceReport(
        report.started_ms,
        report.ratios,
        report.refused,
        report.failed,
        share.window,
        share.is_proven,
    )
