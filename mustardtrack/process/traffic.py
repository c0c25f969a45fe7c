"""State that all requests of one router share."""

import asyncio
import uuid
from collections.abc import Coroutine
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from mustardtrack.adapters.metrics import CounterTable
from mustardtrack.admission import AccountLimits, RetryBudget, Suspects
from mustardtrack.configuration import ConfigurationCopy
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership import EndpointTable, HostTable
from mustardtrack.ports import Clock
from mustardtrack.process.measures import Measures
from mustardtrack.requests import AttemptTracker, GracefulShutdown, Refusal
from mustardtrack.routing import Selector
from mustardtrack.settings import Settings

REQUEST_REFUSED = define_event(8601, "DEBUG", "request refused")
BACKGROUND_FAILED = define_event(8602, "ERROR", "background work failed")


class ExpectedError(Exception):
    """Base of errors that are an answer to a caller, not a fault."""


@dataclass
class OpenRequest:
    """What operators see of an open request."""

    account: str
    class_name: str
    fingerprint: str
    arrived_ms: int
    state: str = "queued"
    endpoint: str = ""


@dataclass
class Traffic:
    """Shared state of the requests of one router, used on its event loop only."""

    settings: Settings
    copy: ConfigurationCopy
    clock: Clock
    metrics: CounterTable
    stop: GracefulShutdown
    limits: AccountLimits
    suspects: Suspects
    tracker: AttemptTracker
    selector: Selector
    budget: RetryBudget
    endpoints: EndpointTable
    hosts: HostTable
    measures: Measures = field(default_factory=Measures)
    open_rows: dict[str, "OpenRequest"] = field(default_factory=dict)
    _background: set["asyncio.Future[Any]"] = field(default_factory=set)

    @cached_property
    def zone(self) -> str:
        """Availability zone of this router."""
        return self.settings.own_router().zone

    def new_request_id(self) -> str:
        """Return an id that is unique among all routers and restarts."""
        return f"{self.settings.name}-{uuid.uuid4().hex}"

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by its reason."""
        self.metrics.count(refusal.counter)
        log_event(REQUEST_REFUSED, reason=refusal.reason, ran=refusal.ran)

    def background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that no caller waits for; a planned stop waits for it."""
        self.keep(asyncio.ensure_future(work))

    def keep(self, task: "asyncio.Future[Any]") -> None:
        """Keep a task that may go on after its caller has left."""
        self._background.add(task)
        task.add_done_callback(self._background_done)

    async def finish_background(self, timeout_ms: int) -> int:
        """Wait for background work; return how much is left."""
        if self._background:
            await asyncio.wait(set(self._background), timeout=timeout_ms / 1000)
        return len(self._background)

    def _background_done(self, task: "asyncio.Future[Any]") -> None:
        self._background.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, ExpectedError):
            log_event(BACKGROUND_FAILED, error=repr(error))
