"""State shared by all requests of one router."""

import asyncio
import uuid
from collections.abc import Coroutine
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.admission import AccountLimits, RetryBudget, Suspects
from mustardtrack.configuration import ConfigurationCopy
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership import EndpointTable, HostTable
from mustardtrack.ports import Clock
from mustardtrack.process.service_stats import ServiceStatsTable
from mustardtrack.requests import AttemptTracker, GracefulShutdown, Refusal
from mustardtrack.routing import Selector
from mustardtrack.settings import Settings

REQUEST_REFUSED = define_event(8601, "DEBUG", "request refused")
BACKGROUND_FAILED = define_event(8602, "ERROR", "background task failed")


class ExpectedError(Exception):
    """Base of errors that are answers to callers rather than faults."""


@dataclass
class OpenRequest:
    """Open request as listed for operators."""

    account: str
    class_name: str
    fingerprint: str
    arrived_ms: int
    state: str = "queued"
    endpoint: str = ""


@dataclass
class SharedState:
    """State shared by the requests of one router.

    It is accessed from the event loop of the router only.
    """

    settings: Settings
    configuration: ConfigurationCopy
    clock: Clock
    metrics: InMemoryMetrics
    planned_stop: GracefulShutdown
    limits: AccountLimits
    suspects: Suspects
    tracker: AttemptTracker
    selector: Selector
    retry_budget: RetryBudget
    endpoints: EndpointTable
    hosts: HostTable
    service_stats: ServiceStatsTable = field(default_factory=ServiceStatsTable)
    open_request_rows: dict[str, "OpenRequest"] = field(default_factory=dict)
    _background_tasks: set["asyncio.Future[Any]"] = field(default_factory=set)

    @cached_property
    def zone(self) -> str:
        """Availability zone of this router."""
        return self.settings.own_router().zone

    def new_request_id(self) -> str:
        """Return an id that is unique among all routers and restarts."""
        return f"{self.settings.name}-{uuid.uuid4().hex}"

    def count_refusal(self, refusal: Refusal) -> None:
        """Count and log a refusal."""
        self.metrics.count(refusal.counter)
        log_event(REQUEST_REFUSED, reason=refusal.reason, ran=refusal.ran)

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background; a planned stop waits for it."""
        self.track_task(asyncio.ensure_future(work))

    def track_task(self, task: "asyncio.Future[Any]") -> None:
        """Track a task that may outlive the request of its caller."""
        self._background_tasks.add(task)
        task.add_done_callback(self._on_background_done)

    async def wait_for_background(self, timeout_ms: int) -> int:
        """Wait for background tasks and return how many are unfinished."""
        if self._background_tasks:
            await asyncio.wait(set(self._background_tasks), timeout=timeout_ms / 1000)
        return len(self._background_tasks)

    def _on_background_done(self, task: "asyncio.Future[Any]") -> None:
        self._background_tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, ExpectedError):
            log_event(BACKGROUND_FAILED, error=repr(error))
