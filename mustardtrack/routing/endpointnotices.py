"""What endpoints announce about themselves in their answers.

Load pattern: endpoints are replaced or emptied under load. The platform's list names a
leaving endpoint only seconds after its own answers do, and a stale placement, a retry
or a resumption may still choose it. An announcement therefore holds from the answer
that carries it, whatever the list says.

An endpoint that turns a request away may name a time in which it wants nothing from
the host that sent it. Each host keeps such pauses of its own endpoints.
"""

from collections import OrderedDict
from collections.abc import Iterable

from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.enginespeeds import NewLoads

LEAVING_ANNOUNCED = define_event(8831, "INFO", "endpoint announces that it leaves")
PAUSE_REQUESTED = define_event(
    8832, "INFO", "endpoint wants no requests from this host for some time"
)

# Time after which an announcement is dropped. Endpoints that leave are gone by then.
LEAVING_LIFETIME_MS = 600_000
MAX_ANNOUNCEMENTS = 20_000
# Longest pause that is kept; an endpoint that names a longer one is asked again then.
MAX_PAUSE_MS = 600_000

# Identity, address and start time of an endpoint. One that starts again, or another
# one at the same address, differs in one of them.
Incarnation = tuple[str, str, int]


def incarnation_of(endpoint: ListedEndpoint) -> Incarnation:
    """Return what distinguishes an endpoint from earlier and later ones."""
    return endpoint.id, endpoint.address, endpoint.started_ms


class EndpointNotices:
    """Announcements of endpoints that this host has seen or heard of.

    Attributes:
        loads: Loads of engines that were not reported to the leader yet.

    Examples:
        >>> one = ListedEndpoint("e", 0, "s", "10.0.0.1:1", "a", 6, False, False, {})
        >>> notices = EndpointNotices()
        >>> notices.record_leaving(one, 0)
        >>> notices.accepts(one, 10)
        False
    """

    def __init__(self) -> None:
        self.loads = NewLoads()
        self._leaving_ms: OrderedDict[Incarnation, int] = OrderedDict()
        self._unreported: set[Incarnation] = set()
        self._paused_until_ms: OrderedDict[Incarnation, int] = OrderedDict()

    def record_leaving(self, endpoint: ListedEndpoint, now_ms: int) -> None:
        """Record an answer with which an endpoint announced that it leaves."""
        incarnation = incarnation_of(endpoint)
        if incarnation not in self._leaving_ms:
            self._unreported.add(incarnation)
            self._add_leaving(incarnation, now_ms)

    def merge_leaving(self, leaving: Iterable[Incarnation], now_ms: int) -> None:
        """Record what another host reports; it is not reported again."""
        for incarnation in leaving:
            if incarnation not in self._leaving_ms:
                self._add_leaving(incarnation, now_ms)

    def _add_leaving(self, incarnation: Incarnation, now_ms: int) -> None:
        log_event(LEAVING_ANNOUNCED, endpoint=incarnation[0], address=incarnation[1])
        self._leaving_ms[incarnation] = now_ms
        while len(self._leaving_ms) > MAX_ANNOUNCEMENTS:
            dropped, _ = self._leaving_ms.popitem(last=False)
            self._unreported.discard(dropped)

    def is_leaving(self, endpoint: ListedEndpoint, now_ms: int) -> bool:
        """Return whether an endpoint has announced that it leaves."""
        since_ms = self._leaving_ms.get(incarnation_of(endpoint))
        return since_ms is not None and now_ms - since_ms < LEAVING_LIFETIME_MS

    def record_pause(
        self, endpoint: ListedEndpoint, pause_s: float, now_ms: int
    ) -> None:
        """Record a pause that an endpoint named; the one that ends last counts."""
        incarnation = incarnation_of(endpoint)
        until_ms = now_ms + round(min(MAX_PAUSE_MS, pause_s * 1000))
        if until_ms <= self._paused_until_ms.get(incarnation, now_ms):
            return
        log_event(PAUSE_REQUESTED, endpoint=endpoint.id, pause_s=pause_s)
        self._paused_until_ms[incarnation] = until_ms
        self._paused_until_ms.move_to_end(incarnation)
        while len(self._paused_until_ms) > MAX_ANNOUNCEMENTS:
            self._paused_until_ms.popitem(last=False)

    def pause_ms(self, endpoint: ListedEndpoint, now_ms: int) -> int:
        """Return the time until the pause of an endpoint ends, 0 without a pause."""
        incarnation = incarnation_of(endpoint)
        left_ms = self._paused_until_ms.get(incarnation, now_ms) - now_ms
        if left_ms <= 0:
            self._paused_until_ms.pop(incarnation, None)
        return max(0, left_ms)

    def accepts(self, endpoint: ListedEndpoint, now_ms: int) -> bool:
        """Return whether new requests may be sent to an endpoint."""
        if not self._leaving_ms and not self._paused_until_ms:
            return True  # Routers ask this for each endpoint and request.
        is_paused = self.pause_ms(endpoint, now_ms) > 0
        return not is_paused and not self.is_leaving(endpoint, now_ms)

    def take_leaving_report(self) -> list[Incarnation]:
        """Return the announcements that were not reported yet."""
        report = sorted(self._unreported)
        self._unreported.clear()
        return report

    def report_again(self) -> None:
        """Report all announcements with the next report, to another leader."""
        self._unreported.update(self._leaving_ms)
