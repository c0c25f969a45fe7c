"""Counting of requests against the allotments of their accounts, on a router."""

import msgspec

from mustardtrack.admission.allotments import AllotmentShare, AllotmentTerms
from mustardtrack.ports import Clock
from mustardtrack.process.attempt_state import AdmittedRequest, NoAttempt
from mustardtrack.process.control_sync import ControlSync
from mustardtrack.process.placement_client import PlacementClient
from mustardtrack.routing.placementmessages import AllotmentRequest, Placement
from mustardtrack.settings.seeded import Bounds

# Refusal reason of requests beyond the allotment of their account.
OVER_ALLOTMENT = "allotment"
OVER_ALLOTMENT_STATUS = 429
# Withdrawn counts that are kept while there is no leader to report them to. Counts that
# are dropped stay counted.
MAX_WITHDRAWN = 1000


class AllotmentClient:
    """Asks the leader for the allotment of each request, or uses this router's share.

    Requests of accounts without an allotment cost nothing.
    """

    def __init__(
        self,
        bounds: Bounds,
        control_sync: ControlSync,
        placements: PlacementClient,
        clock: Clock,
    ):
        self._control_sync = control_sync
        self._placements = placements
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._share = AllotmentShare(
            AllotmentTerms.of(
                bounds.allotment_window_s,
                bounds.allotment_overshoot,
                bounds.allotment_slack,
            )
        )
        self._withdrawn: list[str] = []
        placements.take_allotment_usage = self._share.take_report
        placements.take_withdrawn_counts = self._take_withdrawn

    async def count(
        self, admitted: AdmittedRequest, placement: Placement | None
    ) -> NoAttempt | None:
        """Count a request once, before it is sent.

        Args:
            admitted: Request to count.
            placement: Answer of the leader that places it, None if it did not.

        Returns:
            Why the request is not sent, None if it may be.
        """
        if admitted.allotment_amount == 0 or admitted.is_counted:
            return None
        if placement is not None:
            wait_ms = placement.allotment_wait_ms
            admitted.is_counted = bool(placement.endpoint)
            admitted.count_id = ""
        else:
            wait_ms = await self._take(admitted)
            admitted.is_counted = not wait_ms
        return NoAttempt(OVER_ALLOTMENT, pause_ms=wait_ms) if wait_ms else None

    def give_back(self, admitted: AdmittedRequest) -> None:
        """Give back what a request counted that did not run.

        The leader may have counted it even if its answer has not arrived.
        """
        self._withdraw(admitted)
        if admitted.is_counted and admitted.account is not None:
            admitted.is_counted = False
            self._share.record(admitted.account.name, -admitted.allotment_amount)

    async def _take(self, admitted: AdmittedRequest) -> int:
        account = admitted.account
        assert account is not None and account.allotment is not None
        amount = admitted.allotment_amount
        request = AllotmentRequest(account.name, amount, admitted.begin_count())
        body = msgspec.msgpack.encode(request)
        answer = await self._placements.ask_leader("allot", body, admitted.request_id)
        if answer is not None:
            wait_ms = msgspec.msgpack.decode(answer, type=int)
            if wait_ms >= 0:
                admitted.count_id = ""
                return wait_ms
        self._withdraw(admitted)
        view = self._control_sync.view
        return self._share.take(
            account.name,
            account.allotment,
            amount,
            view.router_count,
            max(view.leader_heard_ms, self._started_ms),
            self._clock.now_ms(),
        )

    def _withdraw(self, admitted: AdmittedRequest) -> None:
        if admitted.count_id:
            self._withdrawn.append(admitted.count_id)
            del self._withdrawn[:-MAX_WITHDRAWN]
            admitted.count_id = ""

    def _take_withdrawn(self) -> list[str]:
        withdrawn, self._withdrawn = self._withdrawn, []
        return withdrawn
