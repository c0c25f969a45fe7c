"""Adaptive slow start: how much work an endpoint gets until it has shown its health.

Load pattern: an endpoint has just joined, restarted, was silent or failed, while dozens
of routers have requests for it. It looks idle, so that each of them sends a first
burst; with a fixed backoff it stays idle long after it has recovered. The leading
control host therefore holds one window for each such endpoint: the requests that all
routers together may have there at once. It begins with one request, grows by one with
each answer that arrives in the expected time, and shrinks with late answers, refusals
and failures. When it reaches the slots of the endpoint, its pace is no longer limited.

The note docs/design/pace.md states the order of precedence with other rules.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping

from xxhash import xxh3_64_intdigest

from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.enginestate import EngineState
from mustardtrack.routing.pacemessages import PaceReport, PaceShare

PACE_STARTED = define_event(8844, "INFO", "endpoint gets a limited number of requests")
PACE_ENDED = define_event(8845, "INFO", "endpoint gets its full share of requests")
PACE_REDUCED = define_event(8846, "INFO", "endpoint gets fewer requests at once")

# Time for which nothing is placed on an engine that a router could not reach, without
# adaptive slow start.
UNREACHABLE_BACKOFF_MS = 1500
# Multiple of the expected answer time beyond which an answer is late. Engines differ by
# a factor of 2.7 in speed; each is compared with its own answers at a window of one.
LATE_FACTOR = 2.0
REDUCTION_FACTOR = 0.5
# Failures in a row after which nothing is sent for a while, whatever the window is.
FAILURES_TO_CLOSE = 4
# Time after a reduction in which further late answers are not counted, since they
# belong to requests sent before it: routers hear of it with their next sync.
SETTLE_MS = 400
# Time without requests after a failed probe; it doubles up to the longest. At most
# one request of the deployment per period is lost at an endpoint that stays broken.
FIRST_CLOSED_MS = 200
LONGEST_CLOSED_MS = 1600
# Time for which an endpoint that fails again is treated as one that never recovered.
FLAP_MEMORY_MS = 10_000
# Window for an endpoint that was silent or has joined.
PROBE_WINDOW = 1.0
# A router that was not heard from within this time has no share.
PRESENT_MS = 1000
# Period after which another router gets the part of a window that cannot be divided.
ROTATION_MS = 500
# Time after the start of a term in which the windows that routers hold are adopted, and
# age up to which a new leader trusts its own knowledge of what has just joined.
TAKEOVER_MS = 3000


class EndpointPace:
    """Window of one endpoint, found from its answers.

    Args:
        listed: Endpoint.
        window: Requests that it may have at once to begin with.
        now_ms: Monotonic time.
        closings: Times that it was found not to work shortly before.
    """

    def __init__(
        self, listed: ListedEndpoint, window: float, now_ms: int, closings: int = 0
    ) -> None:
        self.listed = listed
        self.window = max(PROBE_WINDOW, window)
        self.is_proven = False
        self.since_ms = now_ms
        self.closings = closings
        self._own_ratio = 1.0
        self._resumed_window = PROBE_WINDOW
        self._failures = 0
        self._closed_until_ms = now_ms
        self._settled_ms = now_ms

    @property
    def is_shown(self) -> bool:
        """Whether the endpoint has shown that it can have its full share."""
        return self.is_proven and self.window >= max(1, self.listed.slots)

    def is_closed(self, now_ms: int) -> bool:
        """Return whether nothing is to be sent to the endpoint."""
        return now_ms < self._closed_until_ms

    def record_answer(self, ratio: float, now_ms: int) -> None:
        """Record an answer.

        Args:
            ratio: Answer time divided by the expected one.
            now_ms: Monotonic time.
        """
        is_alone = self.window <= PROBE_WINDOW
        self._failures = 0
        if not self.is_proven:
            self.window = max(self.window, self._resumed_window)
        self.is_proven = True
        self._closed_until_ms = now_ms
        # At a window of one, an answer shows the endpoint's own speed. Otherwise one
        # that is slow but sound would never get more.
        own = ratio if is_alone else min(self._own_ratio, ratio)
        self._own_ratio = max(1.0, own)
        if ratio <= LATE_FACTOR * self._own_ratio:
            self.window += 1
        else:
            self._reduce("late", now_ms)

    def record_refused(self, now_ms: int) -> None:
        """Record a request that the endpoint refused to run."""
        if self.window <= PROBE_WINDOW:
            self.close("refused", now_ms)
        else:
            self._reduce("refused", now_ms)

    def record_failed(self, now_ms: int) -> None:
        """Record a request that failed at the endpoint."""
        self._failures += 1
        if self.window <= PROBE_WINDOW or self._failures >= FAILURES_TO_CLOSE:
            self.close("failed", now_ms)
        else:
            self._reduce("failed", now_ms)

    def close(self, cause: str, now_ms: int) -> None:
        """Send nothing for a while, then one request that may be repeated.

        If one router reports silence and the first probe is answered, the fault may
        have been on the way of that router, so that half of the window comes back.
        """
        if self.is_closed(now_ms):
            return
        is_first = cause == "silent" and not self.closings
        self._resumed_window = self.window * REDUCTION_FACTOR if is_first else 0.0
        closed_ms = min(LONGEST_CLOSED_MS, FIRST_CLOSED_MS << min(self.closings, 8))
        self.closings += 1
        self.window = PROBE_WINDOW
        self.is_proven = False
        self._failures = 0
        self._closed_until_ms = now_ms + closed_ms
        self._log_reduced(cause, closed_ms)

    def restore(self, window: float, is_proven: bool) -> None:
        """Adopt a window that an earlier leader had found."""
        self.window = max(PROBE_WINDOW, window)
        self.is_proven = is_proven

    def _reduce(self, cause: str, now_ms: int) -> None:
        if now_ms < self._settled_ms:
            return
        self._settled_ms = now_ms + SETTLE_MS
        self.window = max(PROBE_WINDOW, self.window * REDUCTION_FACTOR)
        self._log_reduced(cause, 0)

    def _log_reduced(self, cause: str, closed_ms: int) -> None:
        log_event(
            PACE_REDUCED,
            endpoint=self.listed.id,
            cause=cause,
            window=round(self.window, 1),
            closed_ms=closed_ms,
        )


class PlacementPace(ABC):
    """Decides which engines may get another prompt."""

    @abstractmethod
    def update(self, endpoints: Iterable[ListedEndpoint], now_ms: int) -> None:
        """Adopt the endpoint list."""

    @abstractmethod
    def record_unreachable(self, endpoint_ids: Iterable[str], now_ms: int) -> None:
        """Record endpoints that a router could not reach or that stayed silent."""

    @abstractmethod
    def select(
        self, engines: list[EngineState], may_probe: bool, now_ms: int
    ) -> list[EngineState]:
        """Return the engines that may get a prompt; never empty if engines are given.

        Args:
            engines: Engines that all other rules allow.
            may_probe: Whether the prompt is a first attempt that may be repeated.
            now_ms: Monotonic time.
        """

    @abstractmethod
    def is_paced(self, endpoint_id: str) -> bool:
        """Return whether routers are to report how an endpoint answers."""

    @abstractmethod
    def begin_term(self, term: int, now_ms: int) -> None:
        """Begin a leadership term, or go on with the current one."""

    @abstractmethod
    def record_reports(self, reports: Mapping[str, PaceReport], now_ms: int) -> None:
        """Record what a router saw of endpoints."""

    @abstractmethod
    def shares(self, router: str, now_ms: int) -> dict[str, PaceShare]:
        """Return the shares of a router in all windows."""


class FixedBackoff(PlacementPace):
    """Avoids engines that could not be reached for a fixed time."""

    def __init__(self) -> None:
        self._until_ms: dict[tuple[str, int], int] = {}
        self._started_ms: dict[str, int] = {}

    def update(self, endpoints: Iterable[ListedEndpoint], now_ms: int) -> None:
        """Adopt the endpoint list."""
        self._started_ms = {one.id: one.started_ms for one in endpoints}
        known = self._started_ms.items()
        self._until_ms = {
            identity: until_ms
            for identity, until_ms in self._until_ms.items()
            if identity in known
        }

    def record_unreachable(self, endpoint_ids: Iterable[str], now_ms: int) -> None:
        """Start a backoff."""
        for endpoint_id in endpoint_ids:
            started_ms = self._started_ms.get(endpoint_id)
            if started_ms is not None:
                identity = (endpoint_id, started_ms)
                self._until_ms[identity] = now_ms + UNREACHABLE_BACKOFF_MS

    def select(
        self, engines: list[EngineState], may_probe: bool, now_ms: int
    ) -> list[EngineState]:
        """Return the engines without a backoff, all of them if there is none."""
        responsive = [
            engine
            for engine in engines
            if self._until_ms.get(_identity(engine.listed), now_ms) <= now_ms
        ]
        return responsive or engines

    def is_paced(self, endpoint_id: str) -> bool:
        """Return False: routers report nothing."""
        return False

    def begin_term(self, term: int, now_ms: int) -> None:
        """Do nothing: backoffs are not handed over."""

    def record_reports(self, reports: Mapping[str, PaceReport], now_ms: int) -> None:
        """Do nothing: answers do not change the backoff."""

    def shares(self, router: str, now_ms: int) -> dict[str, PaceShare]:
        """Return none: routers have backoffs of their own."""
        return {}


class AdaptivePace(PlacementPace):
    """Windows of the endpoints that have yet to show their health.

    The leading control host owns it. Others follow the endpoint list, so that a new
    leader knows what has just joined.

    Args:
        pace_type: Rule by which a window is found; others serve for comparison.
    """

    def __init__(self, pace_type: type[EndpointPace] = EndpointPace) -> None:
        self._pace_type = pace_type
        self._listed: dict[str, ListedEndpoint] = {}
        self._paces: dict[str, EndpointPace] = {}
        self._ended: dict[str, tuple[int, int]] = {}
        self._routers: dict[str, int] = {}
        self._term = -1
        self._takeover_until_ms = 0

    def update(self, endpoints: Iterable[ListedEndpoint], now_ms: int) -> None:
        """Adopt the endpoint list.

        The endpoints of the first list are not paced: they may have worked for long.
        """
        before, self._listed = self._listed, {one.id: one for one in endpoints}
        for endpoint_id, listed in self._listed.items():
            known = before.get(endpoint_id)
            pace = self._paces.get(endpoint_id)
            if before and (known is None or _identity(known) != _identity(listed)):
                self._paces.pop(endpoint_id, None)
                self._ended.pop(endpoint_id, None)
                self._start(endpoint_id, PROBE_WINDOW, "joined", now_ms)
            elif pace is not None:
                pace.listed = listed
        for state in (self._paces, self._ended):
            for endpoint_id in [one for one in state if one not in self._listed]:
                del state[endpoint_id]

    def begin_term(self, term: int, now_ms: int) -> None:
        """Begin a leadership term with what routers report and what has just joined."""
        if term == self._term:
            return
        self._term = term
        self._takeover_until_ms = now_ms + TAKEOVER_MS
        self._paces = {
            endpoint_id: pace
            for endpoint_id, pace in self._paces.items()
            if now_ms - pace.since_ms <= TAKEOVER_MS
        }

    def record_unreachable(self, endpoint_ids: Iterable[str], now_ms: int) -> None:
        """Record endpoints that a router could not reach or that stayed silent."""
        for endpoint_id in endpoint_ids:
            pace = self._start(endpoint_id, None, "silent", now_ms)
            if pace is not None:
                pace.close("silent", now_ms)

    def record_reports(self, reports: Mapping[str, PaceReport], now_ms: int) -> None:
        """Record what a router saw; reports about earlier incarnations are dropped."""
        for endpoint_id, report in reports.items():
            listed = self._listed.get(endpoint_id)
            if listed is not None and listed.started_ms == report.started_ms:
                self._adopt_window(listed, report, now_ms)
                self._record_report(listed, report, now_ms)

    def _adopt_window(
        self, listed: ListedEndpoint, report: PaceReport, now_ms: int
    ) -> None:
        """Adopt the window that a router holds; the lowest of several counts."""
        if report.window is None or now_ms >= self._takeover_until_ms:
            return
        pace = self._paces.get(listed.id)
        is_known = pace is not None and pace.is_proven
        if pace is None:
            pace = self._start(listed.id, report.window, "new leader", now_ms)
        if pace is not None and not (is_known and pace.window <= report.window):
            pace.restore(report.window, report.is_proven)

    def _record_report(
        self, listed: ListedEndpoint, report: PaceReport, now_ms: int
    ) -> None:
        pace = self._paces.get(listed.id)
        if pace is None and report.failed:
            # One failed answer says little of an endpoint that works. Half of its share
            # comes back with as many sound answers.
            pace = self._start(listed.id, listed.slots / 2, "failed", now_ms)
        if pace is None:
            return
        for ratio in report.ratios:
            pace.record_answer(ratio, now_ms)
        for _ in range(report.refused):
            pace.record_refused(now_ms)
        for _ in range(report.failed):
            pace.record_failed(now_ms)
        if pace.is_shown:
            self._end(pace, now_ms)

    def _start(
        self, endpoint_id: str, window: float | None, cause: str, now_ms: int
    ) -> EndpointPace | None:
        """Return the pace of a listed endpoint, and begin it if there is none.

        Args:
            endpoint_id: Endpoint.
            window: Requests at once to begin with, None for as many as it has slots.
            cause: Why it begins, for the log.
            now_ms: Monotonic time.
        """
        listed = self._listed.get(endpoint_id)
        pace = self._paces.get(endpoint_id)
        if listed is None or pace is not None:
            return pace
        closings, ended_ms = self._ended.pop(endpoint_id, (0, now_ms))
        if now_ms - ended_ms > FLAP_MEMORY_MS:
            closings = 0
        window = listed.slots if window is None else window
        pace = self._pace_type(listed, window, now_ms, closings)
        # It has answered until now, unless it is silent or new.
        pace.is_proven = cause == "failed"
        self._paces[endpoint_id] = pace
        log_event(PACE_STARTED, endpoint=endpoint_id, cause=cause, window=pace.window)
        return pace

    def _end(self, pace: EndpointPace, now_ms: int) -> None:
        del self._paces[pace.listed.id]
        # One report of silence is forgotten, those of an endpoint that flaps are not.
        self._ended[pace.listed.id] = pace.closings // 2, now_ms
        log_event(
            PACE_ENDED, endpoint=pace.listed.id, duration_ms=now_ms - pace.since_ms
        )

    def select(
        self, engines: list[EngineState], may_probe: bool, now_ms: int
    ) -> list[EngineState]:
        """Return the engines with room, else those that answer, else all."""
        if not self._paces:
            return engines
        answering, with_room = [], []
        for engine in engines:
            pace = self._paces.get(engine.listed.id)
            if pace is not None and pace.is_closed(now_ms):
                continue
            answering.append(engine)
            if pace is None or (
                (pace.is_proven or may_probe) and len(engine.placed) < pace.window
            ):
                with_room.append(engine)
        return with_room or answering or engines

    def is_paced(self, endpoint_id: str) -> bool:
        """Return whether routers are to report how an endpoint answers."""
        return endpoint_id in self._paces

    def window(self, endpoint_id: str, now_ms: int) -> float | None:
        """Return the requests an endpoint may have at once, None without a limit."""
        pace = self._paces.get(endpoint_id)
        if pace is None:
            return None
        return 0.0 if pace.is_closed(now_ms) else pace.window

    def shares(self, router: str, now_ms: int) -> dict[str, PaceShare]:
        """Return the shares of a router in all windows.

        A window is divided evenly. What is left over goes to some of the routers, to
        others after each period, and each of them has it until the period ends.
        """
        self._routers[router] = now_ms
        self._routers = {
            name: seen_ms
            for name, seen_ms in self._routers.items()
            if now_ms - seen_ms <= PRESENT_MS
        }
        if not self._paces:
            return {}
        names = sorted(self._routers)
        return {
            endpoint_id: _share(
                pace, names.index(router), len(names), pace.is_closed(now_ms), now_ms
            )
            for endpoint_id, pace in self._paces.items()
            if not pace.listed.is_draining and not pace.listed.is_loading
        }


def _share(
    pace: EndpointPace, position: int, count: int, is_closed: bool, now_ms: int
) -> PaceShare:
    started_ms = pace.listed.started_ms
    if is_closed:
        return PaceShare(started_ms, 0.0, 0)
    share, rest = divmod(int(pace.window), count)
    period = now_ms // ROTATION_MS
    first = xxh3_64_intdigest(pace.listed.id.encode()) + period * rest
    has_extra = (position - first) % count < rest
    return PaceShare(
        started_ms,
        round(pace.window, 1),
        share,
        int(has_extra),
        (period + 1) * ROTATION_MS - now_ms if has_extra else 0,
        pace.is_proven,
    )


def _identity(listed: ListedEndpoint) -> tuple[str, int]:
    return listed.id, listed.started_ms


def create_pace(is_adaptive: bool) -> PlacementPace:
    """Return the rule that a deployment has enabled."""
    return AdaptivePace() if is_adaptive else FixedBackoff()
