"""What one router knows about the endpoints that it forwards to.

Everything carries its age: the list's from control, the load from the endpoint's
last answer, the failures from this router's own attempts.
"""

from dataclasses import dataclass

from mustardtrack.membership.endpointlist import EndpointList, ListedEndpoint

# Reported load says nothing about the present after this time; requests of these
# deployments take a few hundred milliseconds.
LOAD_LIFETIME_MS = 700
# First time without traffic after a failure to answer; doubles with each failure.
FIRST_REST_MS = 400
# Longest time without a trial of an endpoint that failed.
LONGEST_REST_MS = 4000
# Weight of the latest answer in the share of failed answers.
FAILURE_WEIGHT = 0.2


@dataclass
class EndpointState:
    """One endpoint as seen by this router.

    Attributes:
        in_flight: Requests of this router that are not answered.
        unread_tokens: Prompt tokens of those without a first byte yet.
        running: Requests that the endpoint ran at ``load_ms``, all routers'.
        waiting: Requests that it had queued at ``load_ms``.
        sent_since_load: Requests of this router sent after ``load_ms``.
        resting_until_ms: Time before which it gets no request after failures.
        failure_share: Moving share of answers that were failures.
    """

    listed: ListedEndpoint
    in_flight: int = 0
    unread_tokens: int = 0
    running: int = 0
    waiting: int = 0
    load_ms: int = -1_000_000
    sent_since_load: int = 0
    silences: int = 0
    resting_until_ms: int = 0
    failure_share: float = 0.0

    @property
    def id(self) -> str:
        """Identity of the endpoint."""
        return self.listed.id

    def record_send(self, unread_tokens: int) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.sent_since_load += 1
        self.unread_tokens += unread_tokens

    def record_first_byte(self, unread_tokens: int) -> None:
        """Count a prompt as read."""
        self.unread_tokens -= unread_tokens

    def record_end(self) -> None:
        """Count a request as ended."""
        self.in_flight -= 1

    def record_load(self, running: int, waiting: int, now_ms: int) -> None:
        """Store the load that an answer reports."""
        self.running = running
        self.waiting = waiting
        self.load_ms = now_ms
        self.sent_since_load = 0

    def record_answer(self, is_failure: bool) -> None:
        """Store whether an answer was a failure; any answer ends a rest."""
        self.silences = 0
        self.resting_until_ms = 0
        sample = 1.0 if is_failure else 0.0
        self.failure_share += FAILURE_WEIGHT * (sample - self.failure_share)

    def record_silence(self, now_ms: int) -> None:
        """Stop sending for a while after a connection or an answer failed."""
        rest_ms = min(LONGEST_REST_MS, FIRST_REST_MS << min(self.silences, 4))
        self.silences += 1
        self.resting_until_ms = now_ms + rest_ms

    def is_resting(self, now_ms: int) -> bool:
        """Return whether it gets no request because it failed to answer."""
        return now_ms < self.resting_until_ms

    def queue_length(self, now_ms: int) -> float:
        """Estimate the requests at the endpoint now, those of all routers."""
        age = (now_ms - self.load_ms) / LOAD_LIFETIME_MS
        reported = (self.running + self.waiting) * max(0.0, 1.0 - age)
        return max(float(self.in_flight), reported + self.sent_since_load)

    def reported_waiting(self, now_ms: int) -> float:
        """Estimate the requests queued at the endpoint, from its last report."""
        age = (now_ms - self.load_ms) / LOAD_LIFETIME_MS
        return self.waiting * max(0.0, 1.0 - age)


class EndpointTable:
    """All endpoints of the newest list, by service.

    Examples:
        >>> table = EndpointTable()
        >>> one = ListedEndpoint("e", 0, "s", "10.0.0.1:1", "a", 6, False, False, {})
        >>> table.update(EndpointList(1, 1, (one,)))
        []
        >>> [state.id for state in table.of_service("s")]
        ['e']
    """

    def __init__(self) -> None:
        self.listed = EndpointList()
        self._states: dict[str, EndpointState] = {}
        self._services: dict[str, list[EndpointState]] = {}

    @property
    def order(self) -> tuple[int, int]:
        """Term and sequence of the list."""
        return self.listed.order

    def update(self, listed: EndpointList) -> list[EndpointState]:
        """Adopt a newer list and return the endpoints that have gone.

        A draining endpoint stays known so that its requests can end.
        """
        if listed.order <= self.order:
            return []
        self.listed = listed
        states: dict[str, EndpointState] = {}
        gone = []
        for endpoint in listed.endpoints:
            state = self._states.pop(endpoint.id, None)
            if state is not None and _is_other_start(state.listed, endpoint):
                gone.append(state)
                state = None
            if state is None:
                state = EndpointState(endpoint)
            state.listed = endpoint
            states[endpoint.id] = state
        gone.extend(self._states.values())
        self._states = states
        self._services = {}
        for state in states.values():
            self._services.setdefault(state.listed.service, []).append(state)
        return gone

    def of_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service that take new work."""
        return [
            state
            for state in self._services.get(service, ())
            if not state.listed.is_draining and not state.listed.is_loading
        ]


def _is_other_start(before: ListedEndpoint, after: ListedEndpoint) -> bool:
    return (before.address, before.started_ms) != (after.address, after.started_ms)
