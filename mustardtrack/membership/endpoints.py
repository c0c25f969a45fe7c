"""What a router knows about the state of each endpoint."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal

from mustardtrack.logs import define_event, log_event, require_invariant
from mustardtrack.membership.observations import Load, Observation

STATUS_OUTLIVES_LEASE = define_event(
    4001, "ERROR", "endpoint status used after the lease of its observation"
)
INCARNATION_MIXED = define_event(
    4002, "ERROR", "endpoint status mixes observations of two incarnations"
)
LONE_REMOVAL = define_event(
    4003, "ERROR", "endpoint removed by the report of a single observer"
)
LEAVING_USED = define_event(4004, "ERROR", "work sent to a leaving or removed endpoint")
OLD_INCARNATION_USED = define_event(
    4005, "ERROR", "work sent to an endpoint whose incarnation has changed"
)
INCARNATION_CHANGED = define_event(4010, "INFO", "endpoint has a new incarnation")

EndpointState = Literal["up", "down", "leaving", "unverified"]

MIN_DOWN_REPORTS = 2  # a single isolated observer must not remove a live endpoint
RECORDS_KEPT = 8  # per endpoint; more are kept only while their leases are valid
RETIRED_LEASES = 20  # reports delayed by more leases than this do not occur on the bus


@dataclass(frozen=True)
class EndpointView:
    """State of one endpoint as this router sees it.

    Attributes:
        name: Name of the endpoint.
        state: ``up`` may get work; ``unverified`` only if no ``up`` endpoint can
            serve the request; ``down`` and ``leaving`` get no work.
        incarnation: Identity of the endpoint's process, empty if unknown.
        load: The newest reported load of this incarnation.
        age_ms: Age of ``load``, including its age at the observer.
        observers: Names of the observers with valid observations.
        was_leaving: Whether this incarnation was last reported as leaving. An
            ``unverified`` endpoint with this mark gets no work either, because
            losing its observers does not end its departure.
    """

    name: str
    state: EndpointState
    incarnation: str
    load: Load | None
    age_ms: int
    observers: tuple[str, ...]
    was_leaving: bool = False

    @property
    def may_get_work(self) -> bool:
        """Whether the endpoint may get work, at least as the last resort."""
        if self.state == "unverified":
            return not self.was_leaving
        return self.state == "up"


@dataclass(frozen=True)
class _Report:
    observation: Observation
    received_ms: int


@dataclass
class _Endpoint:
    incarnation: str = ""
    reports: dict[str, _Report] = field(default_factory=dict)
    newest: dict[str, _Report] = field(default_factory=dict)
    retired_ms: dict[str, int] = field(default_factory=dict)
    last_seen: dict[str, tuple[int, str]] = field(default_factory=dict)
    failed_ms: int | None = None
    was_leaving: bool = False


class EndpointTable:
    """Leased observations, local failures and exclusions of all endpoints.

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
        """Store an observation until its lease ends.

        Returns:
            False if it is older than a valid one of the same observer or describes
            an incarnation that has ended.
        """
        endpoint = self._get_or_add(observation.endpoint)
        # Kept across incarnations, so that a late report of the old one does not
        # count against the new one.
        previous = endpoint.newest.get(observation.observer)
        if (
            previous is not None
            and self._is_valid(previous, now_ms)
            and previous.observation.sent_ms > observation.sent_ms
        ):
            return False
        report = _Report(observation, now_ms)
        endpoint.newest[observation.observer] = report
        if not self._adopt(observation, endpoint, now_ms):
            return False
        endpoint.reports[observation.observer] = report
        if max(len(endpoint.newest), len(endpoint.retired_ms)) > RECORDS_KEPT:
            self._forget_expired(endpoint, now_ms)
        if observation.state == "up":
            endpoint.failed_ms = None
        if observation.state != "down":
            endpoint.was_leaving = observation.state == "leaving"
        return True

    def report_local(
        self, endpoint: str, incarnation: str, ok: bool, now_ms: int
    ) -> None:
        """Record the result of an attempt of this router.

        A failure removes the endpoint until an observer reports it as up, at most
        for one lease. Results of another incarnation have no effect.
        """
        known = self._get_or_add(endpoint)
        if known.incarnation == incarnation:
            known.failed_ms = None if ok else now_ms

    def set_draining(self, name: str, draining: bool) -> None:
        """Apply an operator's drain or undrain command."""
        (self._draining.add if draining else self._draining.discard)(name)

    def set_platform_leaving(self, names: Iterable[str]) -> None:
        """Replace the endpoints that the platform's list reports as leaving.

        They stay excluded until a newer list no longer reports them. The list never
        shows that an endpoint is up, because it is updated with a delay.
        """
        self._platform_leaving = frozenset(names)

    def remove(self, name: str) -> None:
        """Forget an endpoint that was removed from the configuration."""
        self._endpoints.pop(name, None)
        self._draining.discard(name)

    def view(self, name: str, now_ms: int) -> EndpointView:
        """Return the state of one endpoint."""
        endpoint = self._endpoints.get(name, _Endpoint())
        reports = self._valid_reports(endpoint, now_ms)
        load, age_ms = _newest_load(reports, now_ms)
        return EndpointView(
            name,
            self._decide(name, endpoint, reports, now_ms),
            endpoint.incarnation,
            load,
            age_ms,
            tuple(sorted(one.observation.observer for one in reports)),
            endpoint.was_leaving,
        )

    def candidates(self, names: Iterable[str], now_ms: int) -> list[EndpointView]:
        """Return the endpoints that may get work.

        Returns:
            The ``up`` endpoints or, if there is none, the ``unverified`` ones.
        """
        views = [self.view(name, now_ms) for name in names]
        usable = [view for view in views if view.may_get_work]
        return [view for view in usable if view.state == "up"] or usable

    def is_usable(self, name: str, incarnation: str, now_ms: int) -> bool:
        """Return whether a selected endpoint may still get the work."""
        view = self.view(name, now_ms)
        return view.may_get_work and view.incarnation == incarnation

    def require_usable(self, name: str, incarnation: str, now_ms: int) -> None:
        """Assert, as the last step before work is sent, that it may be sent.

        Call :meth:`is_usable` after every wait and select again if it is false.

        Raises:
            InvariantViolationError: If the endpoint left, was removed or has a
                new incarnation since it was selected.
        """
        view = self.view(name, now_ms)
        require_invariant(
            view.may_get_work,
            LEAVING_USED,
            endpoint=name,
            state=view.state,
        )
        require_invariant(
            view.incarnation == incarnation,
            OLD_INCARNATION_USED,
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

    def _forget_expired(self, endpoint: _Endpoint, now_ms: int) -> None:
        ended = [
            observer
            for observer, one in endpoint.newest.items()
            if not self._is_valid(one, now_ms)
        ]
        for observer in ended:
            del endpoint.newest[observer]
            endpoint.reports.pop(observer, None)
            endpoint.last_seen.pop(observer, None)
        endpoint.retired_ms = {
            incarnation: retired_ms
            for incarnation, retired_ms in endpoint.retired_ms.items()
            if now_ms - retired_ms < self.lease_ms * RETIRED_LEASES
        }

    def _adopt(
        self, observation: Observation, endpoint: _Endpoint, now_ms: int
    ) -> bool:
        """Move to the observed incarnation if it is new; False if it has ended."""
        incarnation = observation.incarnation
        if not incarnation:
            return observation.state == "down"
        retired_ms = endpoint.retired_ms.get(incarnation)
        if retired_ms is not None:
            if now_ms - retired_ms < self.lease_ms * RETIRED_LEASES:
                return False
            del endpoint.retired_ms[incarnation]
        if observation.state == "down" and endpoint.incarnation:
            # The observer reports the last incarnation that it reached.
            return incarnation == endpoint.incarnation
        _retire_previous(endpoint, observation, now_ms)
        if incarnation != endpoint.incarnation:
            _start_incarnation(endpoint, observation)
        return True

    def _valid_reports(self, endpoint: _Endpoint, now_ms: int) -> list[_Report]:
        reports = [
            one for one in endpoint.reports.values() if self._is_valid(one, now_ms)
        ]
        for one in reports:
            require_invariant(
                one.received_ms + self.lease_ms > now_ms,
                STATUS_OUTLIVES_LEASE,
                endpoint=one.observation.endpoint,
                observer=one.observation.observer,
            )
            require_invariant(
                one.observation.incarnation in ("", endpoint.incarnation),
                INCARNATION_MIXED,
                endpoint=one.observation.endpoint,
                observer=one.observation.observer,
            )
        return reports

    def _decide(
        self, name: str, endpoint: _Endpoint, reports: list[_Report], now_ms: int
    ) -> EndpointState:
        states = [one.observation.state for one in reports]
        if (
            "leaving" in states
            or name in self._draining
            or name in self._platform_leaving
        ):
            return "leaving"
        failed_ms = endpoint.failed_ms
        if failed_ms is not None and now_ms - failed_ms < self.lease_ms:
            return "down"
        down = states.count("down")
        if down * 2 > len(states) and down >= MIN_DOWN_REPORTS:
            self._require_agreement(name, reports)
            return "down"
        return "up" if "up" in states else "unverified"

    def _require_agreement(self, name: str, reports: list[_Report]) -> None:
        observers = {
            one.observation.observer
            for one in reports
            if one.observation.state == "down"
        }
        require_invariant(
            len(observers) > 1 and len(observers) * 2 > len(reports),
            LONE_REMOVAL,
            endpoint=name,
            observers=sorted(observers),
        )


def _retire_previous(
    endpoint: _Endpoint, observation: Observation, now_ms: int
) -> None:
    """Retire the incarnation that the same observer saw before.

    Only a report that was sent later proves the order. A smaller ``sent_ms`` is a
    late message or an observer whose clock restarted.
    """
    seen = (observation.sent_ms, observation.incarnation)
    sent_ms, previous = endpoint.last_seen.get(observation.observer, seen)
    endpoint.last_seen[observation.observer] = seen
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
    endpoint.failed_ms = None
    endpoint.was_leaving = False


def _newest_load(reports: list[_Report], now_ms: int) -> tuple[Load | None, int]:
    loaded = [one for one in reports if one.observation.load is not None]
    if not loaded:
        return None, 0
    newest = max(loaded, key=lambda one: one.received_ms)
    load = newest.observation.load
    assert load is not None
    return load, now_ms - newest.received_ms + load.age_ms
