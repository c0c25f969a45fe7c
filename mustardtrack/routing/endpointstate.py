"""State that one router keeps about the endpoints it forwards to.

The endpoint list comes from the control process, load reports from the responses
of the endpoint, and failures from this router's own attempts. Each is used
according to its age.
"""

from dataclasses import dataclass, field

from mustardtrack.membership.endpoint_list import EndpointList, ListedEndpoint
from mustardtrack.routing.endpointnotices import EndpointNotices
from mustardtrack.routing.enginespeeds import expected_slowdown
from mustardtrack.routing.queuehistory import QueueHistory

# Age at which a load report has no weight left; its weight decreases linearly until
# then. Requests take a few hundred milliseconds, so that older reports are obsolete.
LOAD_REPORT_LIFETIME_MS = 700
# First backoff after a failure to respond; doubles with each consecutive failure.
INITIAL_BACKOFF_MS = 400
# Longest backoff before an endpoint that failed to respond is tried again.
MAX_BACKOFF_MS = 4000
# Weight of the latest response in the moving average of failed responses.
FAILURE_EWMA_WEIGHT = 0.2


@dataclass
class EndpointState:
    """One endpoint as seen by this router.

    Attributes:
        in_flight: Requests of this router that have not ended.
        pending_prefill_tokens: Prompt tokens of those that have no first byte yet.
        running: Requests that the endpoint ran at ``load_reported_ms``, of all routers.
        waiting: Requests that it had queued at ``load_reported_ms``.
        load_reported_ms: Monotonic time of the last load report.
        slowdown: Duration of work at that time as a multiple of the usual one, None if
            the endpoint does not report it.
        sent_since_load: Requests of this router sent after ``load_reported_ms``.
        consecutive_failures: Failures to respond since the last response.
        backoff_until_ms: Time before which it gets no requests after failures.
        failure_rate: Moving average of the fraction of responses that were failures.
        queue_history: Speed and size of its queue.
    """

    listed: ListedEndpoint
    in_flight: int = 0
    pending_prefill_tokens: int = 0
    running: int = 0
    waiting: int = 0
    load_reported_ms: int = -1_000_000
    slowdown: float | None = None
    sent_since_load: int = 0
    consecutive_failures: int = 0
    backoff_until_ms: int = 0
    failure_rate: float = 0.0
    queue_history: QueueHistory = field(default_factory=QueueHistory)

    @property
    def id(self) -> str:
        """Identity of the endpoint."""
        return self.listed.id

    def record_send(self, pending_prefill_tokens: int) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.sent_since_load += 1
        self.pending_prefill_tokens += pending_prefill_tokens

    def record_first_byte(self, pending_prefill_tokens: int) -> None:
        """Count the prefill of a prompt as finished."""
        self.pending_prefill_tokens -= pending_prefill_tokens

    def record_end(self) -> None:
        """Count a request as ended."""
        self.in_flight -= 1

    def record_load(
        self, running: int, waiting: int, now_ms: int, slowdown: float | None = None
    ) -> None:
        """Store the load that a response reports."""
        self.running = running
        self.waiting = waiting
        self.slowdown = slowdown
        self.load_reported_ms = now_ms
        self.sent_since_load = 0

    def record_answer(self, rank: int, elapsed_ms: float) -> None:
        """Learn the speed of the queue from a whole answer."""
        held = self.running + self.waiting
        self.queue_history.record_answer(rank, elapsed_ms, held, self.listed.slots)

    def record_response(self, is_failure: bool) -> None:
        """Update the failure rate; any response ends the backoff."""
        self.consecutive_failures = 0
        self.backoff_until_ms = 0
        sample = 1.0 if is_failure else 0.0
        self.failure_rate += FAILURE_EWMA_WEIGHT * (sample - self.failure_rate)

    def record_unreachable(self, now_ms: int) -> None:
        """Start a backoff after a connection failed or a response did not arrive."""
        backoff_ms = min(
            MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(self.consecutive_failures, 4)
        )
        self.consecutive_failures += 1
        self.backoff_until_ms = now_ms + backoff_ms

    def is_backing_off(self, now_ms: int) -> bool:
        """Return whether requests are withheld after a failure to respond."""
        return now_ms < self.backoff_until_ms

    def estimated_outstanding(self, now_ms: int) -> float:
        """Estimate the running and queued requests of all routers at the endpoint."""
        age = (now_ms - self.load_reported_ms) / LOAD_REPORT_LIFETIME_MS
        reported = (self.running + self.waiting) * max(0.0, 1.0 - age)
        return max(float(self.in_flight), reported + self.sent_since_load)

    def expected_slowdown(self, now_ms: int) -> float:
        """Return how long work takes, as a multiple of the usual time.

        1.0 for an endpoint that does not report it.
        """
        if self.slowdown is None:
            return 1.0
        return expected_slowdown(self.slowdown, now_ms - self.load_reported_ms)

    def estimated_queued(self, now_ms: int) -> float:
        """Estimate the requests queued at the endpoint from its last load report."""
        age = (now_ms - self.load_reported_ms) / LOAD_REPORT_LIFETIME_MS
        return self.waiting * max(0.0, 1.0 - age)


class EndpointTable:
    """Endpoints of the newest endpoint list, grouped by service.

    Examples:
        >>> table = EndpointTable()
        >>> one = ListedEndpoint("e", 0, "s", "10.0.0.1:1", "a", 6, False, False, {})
        >>> table.update(EndpointList(1, 1, (one,)))
        []
        >>> [state.id for state in table.accepting_endpoints("s", 0)]
        ['e']

    Attributes:
        notices: What the endpoints announced in their answers.
    """

    def __init__(self) -> None:
        self.listed = EndpointList()
        self.notices = EndpointNotices()
        self._states: dict[str, EndpointState] = {}
        self._services: dict[str, list[EndpointState]] = {}

    @property
    def list_version(self) -> tuple[int, int]:
        """Term and sequence number of the list."""
        return self.listed.list_version

    def update(self, listed: EndpointList) -> list[EndpointState]:
        """Adopt a newer list and return the endpoints that were removed.

        A restarted endpoint counts as removed and added again. A draining endpoint
        stays in the table so that its requests can complete.
        """
        if listed.list_version <= self.list_version:
            return []
        self.listed = listed
        states: dict[str, EndpointState] = {}
        removed = []
        for endpoint in listed.endpoints:
            state = self._states.pop(endpoint.id, None)
            if state is not None and _has_restarted(state.listed, endpoint):
                removed.append(state)
                state = None
            if state is None:
                state = EndpointState(endpoint)
            state.listed = endpoint
            states[endpoint.id] = state
        removed.extend(self._states.values())
        self._states = states
        self._services = {}
        for state in states.values():
            self._services.setdefault(state.listed.service, []).append(state)
        return removed

    def is_listed(self, state: EndpointState) -> bool:
        """Return whether an endpoint, and not a later incarnation, is on the list."""
        return self._states.get(state.listed.id) is state

    def accepting_endpoints(self, service: str, now_ms: int) -> list[EndpointState]:
        """Return the endpoints of a service that accept new requests."""
        return [
            state
            for state in self._listed_as_accepting(service)
            if self.notices.accepts(state.listed, now_ms)
        ]

    def withheld_endpoints(self, service: str, now_ms: int) -> set[str]:
        """Return the ids of those that the list allows and their notices forbid."""
        return {
            state.id
            for state in self._listed_as_accepting(service)
            if not self.notices.accepts(state.listed, now_ms)
        }

    def pause_ms(self, service: str, now_ms: int) -> int | None:
        """Return the time until the first pause of an endpoint ends.

        Returns:
            None if no endpoint of the service is paused.
        """
        pauses_ms = (
            self.notices.pause_ms(state.listed, now_ms)
            for state in self._listed_as_accepting(service)
            if not self.notices.is_leaving(state.listed, now_ms)
        )
        return min((pause for pause in pauses_ms if pause), default=None)

    def _listed_as_accepting(self, service: str) -> list[EndpointState]:
        return [
            state
            for state in self._services.get(service, ())
            if not state.listed.is_draining and not state.listed.is_loading
        ]


def _has_restarted(before: ListedEndpoint, after: ListedEndpoint) -> bool:
    return (before.address, before.started_ms) != (after.address, after.started_ms)
