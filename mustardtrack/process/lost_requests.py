"""Task of the leader that records lost requests in the replicated state."""

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from mustardtrack.admission.crashcounts import CRASH_RETENTION_MS, LostRequest
from mustardtrack.admission.lostrequests import KeptLoss
from mustardtrack.configuration.documents import RecordLostRequests
from mustardtrack.logs import define_event, log_event

if TYPE_CHECKING:
    from mustardtrack.process.seeded_control import SeededControlProcess

REQUESTS_REFUSED = define_event(
    8916, "WARNING", "a further request that crashes endpoints is refused"
)

# Bounds the rate of commands when endpoints break many connections.
RECORD_PERIOD_S = 0.1
MAX_BATCH = 256
# A router asks again after 0.7 s, so its answer comes before.
RECORD_TIMEOUT_S = 0.6
MAX_PENDING = 4096


class LostRequestRecorder:
    """Commits the losses that routers report, one command at a time."""

    def __init__(self, control: "SeededControlProcess"):
        self._control = control
        self._pending: OrderedDict[tuple[str, str], KeptLoss] = OrderedDict()
        self._has_pending = asyncio.Event()
        self._recorded = asyncio.Event()

    async def receive(self, sender: str, body: bytes) -> bytes:
        """Answer a router whether its losses are in the replicated state."""
        lost = msgspec.msgpack.decode(body, type=list[LostRequest])
        if not self._control.is_leader():
            return msgspec.msgpack.encode(False)
        self.add(lost)
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                while any(self._is_pending(loss) for loss in lost):
                    await self._recorded.wait()
        except TimeoutError:
            return msgspec.msgpack.encode(False)
        return msgspec.msgpack.encode(True)

    def _is_pending(self, loss: LostRequest) -> bool:
        return (loss.fingerprint, loss.attempt) in self._pending

    def add(self, lost: list[LostRequest]) -> None:
        """Accept the report of a router."""
        for loss in lost:
            if not self._control.document_store.crashes.is_recorded(loss):
                pending = KeptLoss(loss, self._control.now_ms())
                self._pending[loss.fingerprint, loss.attempt] = pending
        while len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)
        if self._pending:
            self._has_pending.set()

    async def run(self) -> None:
        """Record losses until cancelled."""
        while True:
            await self._has_pending.wait()
            await self._record_batch()
            if not self._pending:
                self._has_pending.clear()
            await asyncio.sleep(RECORD_PERIOD_S)

    async def _record_batch(self) -> None:
        """Commit the oldest losses; they stay pending without a confirmation."""
        control, now_ms = self._control, self._control.now_ms()
        batch = {
            key: pending.aged(now_ms)
            for key, pending in list(self._pending.items())[:MAX_BATCH]
        }
        lost = [loss for loss in batch.values() if loss.age_ms < CRASH_RETENTION_MS]
        outcome = await control.commit(RecordLostRequests(lost)) if lost else None
        if lost and outcome is None:
            return
        for key in batch:
            self._pending.pop(key, None)
        self._recorded.set()
        self._recorded = asyncio.Event()
        control.metrics.count("crashes.lost_requests", len(lost))
        if outcome is not None and outcome.changed:
            refused = control.document_store.crashes.refused(control.wall_ms())
            log_event(REQUESTS_REFUSED, refused=refused)
