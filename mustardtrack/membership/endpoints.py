"""Endpoint states derived by a router from leased observations."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal

from mustardtrack.logs import define_event, log_event, require_invariant
from mustardtrack.membership.observations import Load, Observation

EXPIRED_STATE_USED = define_event(
    4001, "ERROR", "endpoint state used after the lease of its observation expired"
)
INCARNATION_MIXED = define_event(
    4002, "ERROR", "endpoint state combines observations of different incarnations"
)
SINGLE_OBSERVER_DOWN = define_event(
    4003, "ERROR", "endpoint marked as down on the report of a single observer"
)
DISPATCH_TO_UNUSABLE = define_event(
    4004, "ERROR", "request sent to an endpoint that is down or leaving"
)
DISPATCH_TO_OLD_INCARNATION = define_event(
    4005, "ERROR", "request sent to an endpoint whose incarnation has changed"
)
INCARNATION_CHANGED = define_event(
    4010, "INFO", "endpoint changed to a new incarnation"
)

EndpointState = Literal["up", "down", "leaving", "unverified"]

# A single isolated observer must not mark a live endpoint as down.
MIN_DOWN_REPORTS = 2
# Number of observers or retired incarnations of one endpoint above which the records
# that have expired are evicted.
RECORD_EVICTION_THRESHOLD = 8
# Retention of retired incarnations, in leases; the bus does not delay reports longer.
RETIRED_RETENTION_LEASES = 20


@dataclass(frozen=True)
class EndpointView:
    """State of one endpoint from the perspective of this router.

    Attributes:
        name: Name of the endpoint.
        state: ``up`` may receive requests; ``unverified`` only if no ``up`` endpoint
            can serve the request; ``down`` and ``leaving`` receive none.
        incarnation: Identity of the endpoint's process, empty if unknown.
        load: The most recent load reported for this incarnation.
        age_ms: Age of ``load``, including its age when the observer received it.
        observers: Names of the observers with valid observations.
        was_leaving: Whether this incarnation was last reported as leaving. An
            ``unverified`` endpoint with this flag receives no requests either,
            because the loss of its observers does not cancel its departure.
    """

    name: str
    state: EndpointState
    incarnation: str
    load: Load | None
    age_ms: int
    observers: tuple[str, ...]
    was_leaving: bool = False

    @property
    def may_receive_requests(self) -> bool:
        """Whether the endpoint may receive requests, at least as a last resort."""
        if self.state == "unverified":
            return not self.was_leaving
        return self.state == "up"


@dataclass(frozen=True)
class _Report:
    """An observation and the time at which this router received it."""

    observation: Observation
    received_ms: int


@dataclass
class _Endpoint:
    """State of one endpoint.

    ``reports`` holds the last report of each observer on the current incarnation,
    ``latest_reports`` on any incarnation.
    """

    incarnation: str = ""
    reports: dict[str, _Report] = field(default_factory=dict)
    latest_reports: dict[str, _Report] = field(default_factory=dict)
    retired_ms: dict[str, int] = field(default_factory=dict)
    last_incarnation: dict[str, tuple[int, str]] = field(default_factory=dict)
    local_failure_ms: int | None = None
    was_leaving: bool = False


class EndpointTable:
    """Leased observations, local failures and exclusions for all endpoints.

    Args:
        lease_ms: Time after receipt at which an observation expires.

    Examples:
        >>> table = EndpointTable(lease_ms=3000)
        >>> up = Observation("engine-1", "a", "up", Load(running=2), "r1", 0)
        >>> table.observe(up, now_ms=0)
        True
        >>> table.view("engine-1", now_ms=2999).state
        'up'
        >>> table.view("engine-1", now_ms=3000).state
        'unverified'
    """

    def __init__(self, lease_ms: int = 3000):
        self.lease_ms = lease_ms
        self._endpoints: dict[str, _Endpoint] = {}
        self._draining: set[str] = set()
        self._platform_leaving: frozenset[str] = frozenset()

    def observe(self, observation: Observation, now_ms: int) -> bool:
        """Store an observation until its lease expires.

        Returns:
            False if the observation is older than a valid one of the same observer,
            describes a retired incarnation, or reports another incarnation than the
            current one as down.
        """
        endpoint = self._get_or_add(observation.endpoint)
        # ``latest_reports`` is kept across incarnations, so that a late report about
        # the previous incarnation does not count against the current one.
        previous = endpoint.latest_reports.get(observation.observer)
        if (
            previous is not None
            and self._is_valid(previous, now_ms)
            and previous.observation.sent_ms > observation.sent_ms
        ):
            return False
        report = _Report(observation, now_ms)
        endpoint.latest_reports[observation.observer] = report
        if not self._accept_incarnation(observation, endpoint, now_ms):
            return False
        endpoint.reports[observation.observer] = report
        if (
            max(len(endpoint.latest_reports), len(endpoint.retired_ms))
            > RECORD_EVICTION_THRESHOLD
        ):
            self._evict_expired(endpoint, now_ms)
        if observation.state == "up":
            endpoint.local_failure_ms = None
        if observation.state != "down":
            endpoint.was_leaving = observation.state == "leaving"
        return True

    def record_attempt_result(
        self, endpoint: str, incarnation: str, ok: bool, now_ms: int
    ) -> None:
        """Record the result of an attempt made by this router.

        A failure marks the endpoint as down until an observer reports it as up, at
        most for one lease. Results for another incarnation have no effect.
        """
        known = self._get_or_add(endpoint)
        if known.incarnation == incarnation:
            known.local_failure_ms = None if ok else now_ms

    def set_draining(self, name: str, draining: bool) -> None:
        """Apply an operator's drain or undrain command."""
        (self._draining.add if draining else self._draining.discard)(name)

    def set_platform_leaving(self, names: Iterable[str]) -> None:
        """Replace the set of endpoints that the platform reports as leaving.

        They stay excluded until a newer list no longer reports them. The list is
        never used as evidence that an endpoint is up, because it is updated with a
        delay.
        """
        self._platform_leaving = frozenset(names)

    def remove(self, name: str) -> None:
        """Drop the state of an endpoint removed from the configuration."""
        self._endpoints.pop(name, None)
        self._draining.discard(name)

    def view(self, name: str, now_ms: int) -> EndpointView:
        """Return the state of one endpoint."""
        endpoint = self._endpoints.get(name, _Endpoint())
        reports = self._valid_reports(endpoint, now_ms)
        load, age_ms = _newest_load(reports, now_ms)
        return EndpointView(
            name,
            self._derive_state(name, endpoint, reports, now_ms),
            endpoint.incarnation,
            load,
            age_ms,
            tuple(sorted(report.observation.observer for report in reports)),
            endpoint.was_leaving,
        )

    def candidates(self, names: Iterable[str], now_ms: int) -> list[EndpointView]:
        """Return the endpoints that may receive requests.

        Returns:
            The ``up`` endpoints or, if there are none, the ``unverified`` ones.
        """
        views = [self.view(name, now_ms) for name in names]
        usable = [view for view in views if view.may_receive_requests]
        return [view for view in usable if view.state == "up"] or usable

    def is_usable(self, name: str, incarnation: str, now_ms: int) -> bool:
        """Return whether a selected endpoint may still receive the request."""
        view = self.view(name, now_ms)
        return view.may_receive_requests and view.incarnation == incarnation

    def require_usable(self, name: str, incarnation: str, now_ms: int) -> None:
        """Check immediately before a request is sent that the endpoint is usable.

        Call :meth:`is_usable` after every wait and select another endpoint if it
        returns False.

        Raises:
            InvariantViolationError: If the endpoint is down or leaving, or has a new
                incarnation since it was selected.
        """
        view = self.view(name, now_ms)
        require_invariant(
            view.may_receive_requests,
            DISPATCH_TO_UNUSABLE,
            endpoint=name,
            state=view.state,
        )
        require_invariant(
            view.incarnation == incarnation,
            DISPATCH_TO_OLD_INCARNATION,
            endpoint=name,
            selected=incarnation,
            current=view.incarnation,
        )

    def _get_or_add(self, name: str) -> _Endpoint:
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            endpoint = self._endpoints[name] = _Endpoint()
        return endpoint

    def _is_valid(self, report: _Report, now_ms: int) -> bool:
        return now_ms - report.received_ms < self.lease_ms

    def _evict_expired(self, endpoint: _Endpoint, now_ms: int) -> None:
        expired = [
            observer
            for observer, report in endpoint.latest_reports.items()
            if not self._is_valid(report, now_ms)
        ]
        for observer in expired:
            del endpoint.latest_reports[observer]
            endpoint.reports.pop(observer, None)
            endpoint.last_incarnation.pop(observer, None)
        endpoint.retired_ms = {
            incarnation: retired_ms
            for incarnation, retired_ms in endpoint.retired_ms.items()
            if now_ms - retired_ms < self.lease_ms * RETIRED_RETENTION_LEASES
        }

    def _accept_incarnation(
        self, observation: Observation, endpoint: _Endpoint, now_ms: int
    ) -> bool:
        """Switch to the observed incarnation if new; return False to ignore it."""
        incarnation = observation.incarnation
        if not incarnation:
            return observation.state == "down"
        retired_ms = endpoint.retired_ms.get(incarnation)
        if retired_ms is not None:
            if now_ms - retired_ms < self.lease_ms * RETIRED_RETENTION_LEASES:
                return False
            del endpoint.retired_ms[incarnation]
        if observation.state == "down" and endpoint.incarnation:
            # A down report names the last incarnation that its observer reached.
            return incarnation == endpoint.incarnation
        _retire_superseded(endpoint, observation, now_ms)
        if incarnation != endpoint.incarnation:
            _start_incarnation(endpoint, observation)
        return True

    def _valid_reports(self, endpoint: _Endpoint, now_ms: int) -> list[_Report]:
        reports = [
            report
            for report in endpoint.reports.values()
            if self._is_valid(report, now_ms)
        ]
        for report in reports:
            require_invariant(
                report.received_ms + self.lease_ms > now_ms,
                EXPIRED_STATE_USED,
                endpoint=report.observation.endpoint,
                observer=report.observation.observer,
            )
            require_invariant(
                report.observation.incarnation in ("", endpoint.incarnation),
                INCARNATION_MIXED,
                endpoint=report.observation.endpoint,
                observer=report.observation.observer,
            )
        return reports

    def _derive_state(
        self, name: str, endpoint: _Endpoint, reports: list[_Report], now_ms: int
    ) -> EndpointState:
        states = [report.observation.state for report in reports]
        if (
            "leaving" in states
            or name in self._draining
            or name in self._platform_leaving
        ):
            return "leaving"
        local_failure_ms = endpoint.local_failure_ms
        if local_failure_ms is not None and now_ms - local_failure_ms < self.lease_ms:
            return "down"
        down_count = states.count("down")
        if down_count * 2 > len(states) and down_count >= MIN_DOWN_REPORTS:
            self._require_majority(name, reports)
            return "down"
        return "up" if "up" in states else "unverified"

    def _require_majority(self, name: str, reports: list[_Report]) -> None:
        observers = {
            report.observation.observer
            for report in reports
            if report.observation.state == "down"
        }
        require_invariant(
            len(observers) > 1 and len(observers) * 2 > len(reports),
            SINGLE_OBSERVER_DOWN,
            endpoint=name,
            observers=sorted(observers),
        )


def _retire_superseded(
    endpoint: _Endpoint, observation: Observation, now_ms: int
) -> None:
    """Retire the incarnation that the same observer reported previously.

    Only a later ``sent_ms`` establishes the order. A smaller one belongs to a late
    message or to an observer whose clock restarted.
    """
    current = (observation.sent_ms, observation.incarnation)
    sent_ms, previous = endpoint.last_incarnation.get(observation.observer, current)
    endpoint.last_incarnation[observation.observer] = current
    if previous != observation.incarnation and sent_ms < observation.sent_ms:
        endpoint.retired_ms[previous] = now_ms


def _start_incarnation(endpoint: _Endpoint, observation: Observation) -> None:
    log_event(
        INCARNATION_CHANGED,
        endpoint=observation.endpoint,
        old=endpoint.incarnation,
        new=observation.incarnation,
        observer=observation.observer,
    )
    endpoint.incarnation = observation.incarnation
    endpoint.reports.clear()
    endpoint.local_failure_ms = None
    endpoint.was_leaving = False


def _newest_load(reports: list[_Report], now_ms: int) -> tuple[Load | None, int]:
    with_load = [report for report in reports if report.observation.load is not None]
    if not with_load:
        return None, 0
    newest = max(with_load, key=lambda report: report.received_ms)
    load = newest.observation.load
    assert load is not None
    return load, now_ms - newest.received_ms + load.age_ms
