"""Tasks that synchronize a router with the control hosts."""

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.admission.partwatch import PartWatch
from mustardtrack.admission.ratelimits import RateLimits
from mustardtrack.configuration.routes import RouteAccount, RouteTable
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership.endpoint_list_changes import apply_list_change
from mustardtrack.membership.routercounts import RouterCounts, RouterNumbers
from mustardtrack.membership.routershares import UNKNOWN_CAPACITY, RouterCapacity
from mustardtrack.platform.manifests import decode_manifest
from mustardtrack.ports import Clock
from mustardtrack.ports.sync_messages import SyncReply, SyncRequest
from mustardtrack.ports.syncdetails import KnownDetails
from mustardtrack.routing.endpointstate import EndpointState, EndpointTable
from mustardtrack.routing.paceshares import PaceShares
from mustardtrack.routing.weightslimit import WeightsLimit
from mustardtrack.settings import SeededSettings

TABLE_ADOPTED = define_event(8941, "INFO", "route table adopted")
ENDPOINTS_ADOPTED = define_event(8942, "INFO", "endpoint list adopted")
CONTROL_UNREACHABLE = define_event(8943, "WARNING", "control host does not answer")
CONTROL_REACHABLE = define_event(8944, "INFO", "control host is answering again")
CONFIRMATION_LOST = define_event(
    8945, "WARNING", "configuration is no longer confirmed, requests are refused"
)
CONFIRMATION_REGAINED = define_event(8946, "INFO", "configuration is confirmed again")
SYNC_FAILED = define_event(8947, "ERROR", "reply of a control host was not applied")
REFUSED_CHANGED = define_event(
    8948, "INFO", "requests that are refused because they crash endpoints have changed"
)
ROUTER_COUNT_CHANGED = define_event(
    8949, "INFO", "number of routers that share limits has changed"
)

# A removed API key must not work after ``revoke_ms``. A route table may serve without
# confirmation for this fraction of it; the rest covers requests already accepted.
CONFIRMATION_FRACTION = 0.85
RETRY_DELAY_S = 0.1
FAILED_SYNC_DELAY_S = 0.5
INITIAL_TIMEOUT_MS = 500
CONFIRMATION_CHECK_PERIOD_S = 0.1


@dataclass
class ControlView:
    """State that a router has received from the control hosts.

    Attributes:
        table: Current route table, None before the first one.
        confirmed_ms: Time at which a leader confirmed the table, by this
            router's clock; None before the first confirmation.
        revision: Revision of the control state that the view holds.
        weights: Named weights version of each model.
        router_count: Routers that work on requests.
        retry_sharers: Routers with a share of the extra retries, 0 if this router has
            none.
        leader: Name of the control group's leader, as last reported.
        leader_heard_ms: Time of the last reply of a confirmed leader.
        refused: Fingerprints of requests that crash the endpoints that run them.
        parts: Prompt parts that crash the engines that begin to answer them.
        limits: Limits that endpoints have named.
        prefill_rates: Learned prefill rate of the engines of each service, in tokens
            per ms.
        weights_limit: Time that is left to begin requests on superseded weights.
        pace: Shares of endpoints that have yet to show their health.
    """

    table: RouteTable | None = None
    confirmed_ms: int | None = None
    revision: int = 0
    weights: dict[str, int] = field(default_factory=dict)
    endpoints: EndpointTable = field(default_factory=EndpointTable)
    router_count: int = 1
    retry_sharers: int = 0
    leader: str = ""
    leader_heard_ms: int = 0
    refused: frozenset[str] = frozenset()
    parts: PartWatch = field(default_factory=PartWatch)
    limits: RateLimits = field(default_factory=lambda: RateLimits(""))
    prefill_rates: dict[str, float] = field(default_factory=dict)
    weights_limit: WeightsLimit = field(default_factory=lambda: WeightsLimit(0))
    pace: PaceShares = field(default_factory=lambda: PaceShares(False))

    def cache_of(self, account: RouteAccount | None) -> str:
        """Return the cache that requests of an account use under the current table."""
        if self.table is None:
            raise ValueError("a request cannot be sent before the first route table")
        return self.table.cache_of(account)

    def confirmation_age_ms(self, now_ms: int) -> int | None:
        """Return the time since the last confirmation."""
        return None if self.confirmed_ms is None else now_ms - self.confirmed_ms


class ControlSync:
    """Synchronizes with all known control hosts.

    Attributes:
        capacity: Returns what this router can do at a time in ms.

    Args:
        on_endpoint_removed: Called with each endpoint removed from the list.
        on_table_adopted: Called with each route table that takes effect.
    """

    def __init__(
        self,
        settings: SeededSettings,
        bus: Bus,
        clock: Clock,
        is_ready: Callable[[], bool],
        on_endpoint_removed: Callable[[EndpointState], None],
        on_table_adopted: Callable[[RouteTable], None],
    ):
        self._settings = settings
        self._bus = bus
        self._clock = clock
        self._is_ready = is_ready
        self._on_endpoint_removed = on_endpoint_removed
        self._on_table_adopted = on_table_adopted
        self._max_unconfirmed_ms = int(
            settings.bounds.revoke_ms * CONFIRMATION_FRACTION
        )
        self.view = ControlView(
            limits=RateLimits(settings.name),
            weights_limit=WeightsLimit(settings.bounds.weights_ms),
            pace=PaceShares(settings.bounds.adaptive_start),
        )
        self._router_counts = RouterCounts(
            clock.now_ms(),
            int(settings.retries.window_s * 1000),
            settings.bootstrap,
        )
        self._known_details = KnownDetails()
        self.capacity: Callable[[int], RouterCapacity] = lambda _: UNKNOWN_CAPACITY
        self._sync_tasks: dict[str, asyncio.Task[None]] = {}
        self._unreachable: set[str] = set()
        self._was_confirmed = False

    def start(self) -> None:
        """Start synchronizing with the seeds."""
        self._start_sync(self._settings.seed_bus_addresses())
        self._sync_tasks[""] = asyncio.ensure_future(self._watch_confirmation())

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = list(self._sync_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add_seeds(self, names: list[str]) -> None:
        """Synchronize with additional seeds."""
        self._start_sync(names)

    def is_confirmed(self) -> bool:
        """Return whether endpoints are known and the route table is confirmed."""
        age_ms = self.view.confirmation_age_ms(self._clock.now_ms())
        has_endpoints = self.view.endpoints.list_version > (0, 0)
        return (
            has_endpoints and age_ms is not None and age_ms < self._max_unconfirmed_ms
        )

    async def sync_now(self) -> None:
        """Send the state of this router to all control hosts at once."""
        names = [name for name in self._sync_tasks if name]
        await asyncio.gather(*(self._sync_once(name) for name in names))

    async def _sync_once(self, name: str) -> None:
        try:
            await self._sync(name, hold_ms=0, timeout_ms=INITIAL_TIMEOUT_MS)
        except BusTimeoutError:
            self._mark_unreachable(name)
        except Exception as error:
            # A planned stop goes on whatever one control host answers.
            log_event(SYNC_FAILED, control=name, error=repr(error))

    def _start_sync(self, names: list[str]) -> None:
        for name in names:
            if name not in self._sync_tasks:
                self._sync_tasks[name] = asyncio.ensure_future(
                    self._sync_repeatedly(name)
                )

    async def _sync_repeatedly(self, name: str) -> None:
        timing = self._settings.timing
        timeout_ms = INITIAL_TIMEOUT_MS
        hold_ms = 0
        while True:
            try:
                await self._sync(name, hold_ms, timeout_ms)
                hold_ms, timeout_ms = timing.sync_hold_ms, timing.sync_timeout_ms
                self._mark_reachable(name)
            except BusTimeoutError:
                hold_ms, timeout_ms = 0, INITIAL_TIMEOUT_MS
                self._mark_unreachable(name)
                await asyncio.sleep(RETRY_DELAY_S)
            except Exception as error:
                # The router would otherwise never hear of this control host again.
                log_event(SYNC_FAILED, control=name, error=repr(error))
                hold_ms, timeout_ms = 0, INITIAL_TIMEOUT_MS
                await asyncio.sleep(FAILED_SYNC_DELAY_S)

    def _mark_unreachable(self, name: str) -> None:
        if name not in self._unreachable:
            self._unreachable.add(name)
            log_event(CONTROL_UNREACHABLE, control=name)

    def _mark_reachable(self, name: str) -> None:
        if name in self._unreachable:
            self._unreachable.discard(name)
            log_event(CONTROL_REACHABLE, control=name)

    async def _sync(self, name: str, hold_ms: int, timeout_ms: int) -> None:
        view = self.view
        list_version = view.endpoints.list_version
        sent_ms = self._clock.now_ms()
        listen = self._settings.listen
        request = SyncRequest(
            name=self._settings.name,
            zone=self._settings.zone,
            callers=listen.callers or "",
            is_ready=self._is_ready(),
            document_version=view.table.version if view.table else 0,
            revision=view.revision,
            list_term=list_version[0],
            list_sequence=list_version[1],
            hold_ms=hold_ms,
            crash_revision=view.parts.revision,
            refused_parts=view.parts.offers(sent_ms),
            weights_ages=view.weights_limit.ages(sent_ms),
            details_digest=self._known_details.digest(name),
            capacity=self.capacity(sent_ms),
        )
        body = msgspec.msgpack.encode(request)
        answer = await self._bus.request(name, "sync", body, timeout_ms)
        reply = msgspec.msgpack.decode(answer, type=SyncReply)
        self._apply_reply(name, self._known_details.restore(name, reply), sent_ms)

    def _apply_reply(self, name: str, reply: SyncReply, sent_ms: int) -> None:
        view = self.view
        if reply.content and reply.document_version > self._table_version():
            view.table = replace(
                decode_manifest(zlib.decompress(reply.content)),
                cache_generation=reply.cache_generation,
            )
            log_event(
                TABLE_ADOPTED,
                version=view.table.version,
                cache_generation=view.table.cache_generation,
                isolated_accounts=len(view.table.isolated_accounts),
                control=name,
            )
            self._on_table_adopted(view.table)
        view.weights_limit.adopt(reply.weights_ages, self._clock.now_ms())
        if reply.revision > view.revision:
            view.weights = reply.weights
            view.weights_limit.update(reply.weights, self._clock.now_ms())
            if reply.document_version <= self._table_version():
                view.revision = reply.revision
        self._apply_endpoints(reply)
        if reply.leader:
            view.leader = reply.leader
        if name == view.leader:
            if reply.is_confirmed:
                view.leader_heard_ms = max(view.leader_heard_ms, sent_ms)
                self._adopt_refused(name, reply)
                view.pace.adopt(reply.pace_shares, self._clock.now_ms())
            if reply.crash_evidence is not None:
                view.parts.receive(reply.crash_evidence, self._clock.now_ms())
            view.limits.merge(reply.limits, self._clock.now_ms())
            view.prefill_rates = reply.prefill_rates
        self._apply_router_counts(name, reply)
        # The reply is not older than its request, and its state was confirmed
        # ``stale_ms`` before the reply.
        confirmed_ms = sent_ms - reply.stale_ms
        has_newest_table = reply.document_version <= self._table_version()
        if has_newest_table and reply.document_version and confirmed_ms > 0:
            view.confirmed_ms = max(view.confirmed_ms or 0, confirmed_ms)
        self._start_sync(reply.controls)

    def _apply_router_counts(self, name: str, reply: SyncReply) -> None:
        view, counts, now_ms = self.view, self._router_counts, self._clock.now_ms()
        numbers = RouterNumbers(reply.router_count, reply.recent_router_count)
        counts.record(name, numbers, now_ms)
        known = (view.router_count, view.retry_sharers)
        view.router_count = counts.alive
        view.retry_sharers = counts.retry_sharers(now_ms)
        if known != (view.router_count, view.retry_sharers):
            log_event(
                ROUTER_COUNT_CHANGED,
                control=name,
                routers=view.router_count,
                retry_sharers=view.retry_sharers,
            )

    def _adopt_refused(self, name: str, reply: SyncReply) -> None:
        refused = frozenset(reply.refused)
        if refused != self.view.refused:
            log_event(
                REFUSED_CHANGED,
                control=name,
                stale_ms=reply.stale_ms,
                added=sorted(refused - self.view.refused),
                removed=sorted(self.view.refused - refused),
            )
            self.view.refused = refused

    def _apply_endpoints(self, reply: SyncReply) -> None:
        table = self.view.endpoints
        listed = reply.endpoints
        if reply.change is not None:
            listed = apply_list_change(table.listed, reply.change)
        if listed is None or listed.list_version <= table.list_version:
            return
        self.view.pace.record_list(listed.endpoints, self._clock.now_ms())
        for state in table.update(listed):
            self._on_endpoint_removed(state)
        log_event(
            ENDPOINTS_ADOPTED,
            term=listed.term,
            sequence=listed.sequence,
            endpoints=len(listed.endpoints),
        )

    def _table_version(self) -> int:
        return self.view.table.version if self.view.table else 0

    async def _watch_confirmation(self) -> None:
        while True:
            await asyncio.sleep(CONFIRMATION_CHECK_PERIOD_S)
            now_ms = self._clock.now_ms()
            self.view.retry_sharers = self._router_counts.retry_sharers(now_ms)
            confirmed = self.is_confirmed()
            if confirmed != self._was_confirmed:
                self._was_confirmed = confirmed
                event = CONFIRMATION_REGAINED if confirmed else CONFIRMATION_LOST
                age_ms = self.view.confirmation_age_ms(self._clock.now_ms())
                log_event(event, age_ms=age_ms, limit_ms=self._max_unconfirmed_ms)
