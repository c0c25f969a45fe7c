"""Messages with which routers ask the leader for places and allotments."""

from typing import TYPE_CHECKING

import msgspec

from mustardtrack.admission.allotments import (
    PRESENT_MS,
    Allotments,
    AllotmentTerms,
    CountedRequests,
    LeaderTerms,
)
from mustardtrack.configuration.routes import RouteTable
from mustardtrack.ports.sync_messages import PromptProgress
from mustardtrack.routing.pacemessages import PaceShare
from mustardtrack.routing.placementmessages import (
    AllotmentRequest,
    Placement,
    PlacementRequest,
)
from mustardtrack.settings.seeded import Bounds

if TYPE_CHECKING:
    from mustardtrack.process.seeded_control import SeededControlProcess

# Answer to a request for an allotment by a host that does not lead.
NOT_LEADER = -1
# A router without a leader serves for this part of ``revoke_ms`` (see
# ``process.control_sync``) and is counted for the whole.


class PlacementService:
    """Places prompts and counts allotments while this control host leads."""

    def __init__(self, control: "SeededControlProcess", bounds: Bounds):
        self._control = control
        self._bounds = bounds
        self._table: RouteTable | None = None
        self._term = -1
        terms = AllotmentTerms.of(
            bounds.allotment_window_s,
            bounds.allotment_overshoot,
            bounds.allotment_slack,
        )
        self.allotments = Allotments(terms)
        self._counted = CountedRequests()
        self._leader_terms = LeaderTerms(terms.window_s * 1000)

    def observe_term(self) -> None:
        """Record the current term, also while another host leads."""
        self._leader_terms.observe(self._control.term(), self._control.now_ms())

    async def place(self, sender: str, body: bytes) -> bytes:
        """Answer a placement request."""
        request = msgspec.msgpack.decode(body, type=PlacementRequest)
        control = self._control
        table = control.route_table()
        if not control.is_leader() or table is None:
            return msgspec.msgpack.encode(Placement())
        service = table.services.get(request.service)
        if service is None:
            return msgspec.msgpack.encode(Placement())
        now_ms = control.now_ms()
        wait_ms = self._take(table, request, now_ms)
        if wait_ms:
            refusal = Placement(is_authoritative=True, allotment_wait_ms=wait_ms)
            return msgspec.msgpack.encode(refusal)
        control.placements.contention.enable(self._bounds.fair_admission)
        placement = control.placements.place(
            request,
            service,
            control.usable_stores(),
            control.document_store.weights,
            now_ms,
        )
        if not placement.endpoint and request.amount:
            counted = self._counted.remove(request.count_id)
            if not request.count_id:  # From a router of an earlier version.
                counted = request.account, request.amount
            self._give_back(counted, now_ms)
        return msgspec.msgpack.encode(placement)

    async def allot(self, sender: str, body: bytes) -> bytes:
        """Answer a request to count a request that is not placed."""
        request = msgspec.msgpack.decode(body, type=AllotmentRequest)
        table = self._control.route_table()
        wait_ms = NOT_LEADER
        if self._control.is_leader() and table is not None:
            now_ms = self._control.now_ms()
            wait_ms = self._take(table, request, now_ms)
        return msgspec.msgpack.encode(wait_ms)

    async def is_queued(self, sender: str, body: bytes) -> bytes:
        """Answer whether a prompt is still queued at its engine."""
        request_id = msgspec.msgpack.decode(body, type=str)
        control = self._control
        is_queued = control.is_leader() and control.placements.is_queued(
            request_id, control.now_ms()
        )
        return msgspec.msgpack.encode(is_queued)

    def record_progress(self, progress: PromptProgress) -> None:
        """Record what a router reports about placed prompts and endpoints."""
        placements, now_ms = self._control.placements, self._control.now_ms()
        placements.record_prefilled(progress.prefilled, now_ms)
        placements.record_end(progress.ended, now_ms)
        placements.record_unreachable(progress.unreachable_engines, now_ms)
        placements.record_refusal(progress.refused, now_ms)
        placements.record_loads(progress.loads, now_ms)
        placements.limits.merge(progress.limits, now_ms)
        placements.notices.merge_leaving(progress.leaving, now_ms)
        if self._control.is_leader():
            placements.pace.begin_term(self._control.term(), now_ms)
        placements.pace.record_reports(progress.paces, now_ms)
        for account, amount in progress.allotment_usage.items():
            self.allotments.record_usage(account, amount, now_ms)
        for count_id in progress.withdrawn_counts:
            self._give_back(self._counted.withdraw(count_id, now_ms), now_ms)

    def pace_shares(self, router: str) -> dict[str, PaceShare]:
        """Return a router's shares of the endpoints that are being paced."""
        if not self._control.is_leader():
            return {}
        pace, now_ms = self._control.placements.pace, self._control.now_ms()
        pace.begin_term(self._control.term(), now_ms)
        return pace.shares(router, now_ms)

    def _give_back(self, counted: tuple[str, float] | None, now_ms: int) -> None:
        if counted is not None:
            account, amount = counted
            self.allotments.record_usage(account, -amount, now_ms)

    def _take(
        self,
        table: RouteTable,
        request: PlacementRequest | AllotmentRequest,
        now_ms: int,
    ) -> int:
        if not request.account or not table.allotments:
            return 0
        if table is not self._table:
            self._table = table
            self.allotments.update(table.allotments, now_ms)
        self._adopt_term(now_ms)
        directory = self._control.directory
        self.allotments.record_routers(
            directory.count_seen(now_ms - PRESENT_MS),
            directory.count_seen(now_ms - self._bounds.revoke_ms),
        )
        if self._counted.knows(request.count_id, now_ms):
            return 0
        wait_ms = self.allotments.take(request.account, request.amount, now_ms)
        if not wait_ms:
            account, amount = request.account, request.amount
            self._counted.add(request.count_id, account, amount, now_ms)
        else:
            self._control.metrics.count("allotment.refused")
        return wait_ms

    def _adopt_term(self, now_ms: int) -> None:
        """Begin again if another host may have led since the last request."""
        term, last_term = self._control.term(), self._term
        if term == last_term:
            return
        self._term = term
        self._leader_terms.observe(term, now_ms)
        if term == last_term + 1:
            self.allotments.resume(now_ms)
        else:
            self._counted.clear()
            self.allotments.forget_usage(now_ms, self._leader_terms.changes(now_ms))
