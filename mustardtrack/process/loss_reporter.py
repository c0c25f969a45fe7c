"""Reports of a router on lost requests, repeated until a leader has recorded them."""

import asyncio
import random

import msgspec

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.admission.crashcounts import LostRequest
from mustardtrack.admission.lostrequests import UnconfirmedLosses
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import Clock
from mustardtrack.process.control_sync import ControlSync

LOSSES_UNRECORDED = define_event(
    8959, "ERROR", "router ended before its lost requests were recorded"
)
LOSS_REPORTED = define_event(
    8963, "INFO", "router reports a request whose endpoint broke off"
)

# A leader commits within a few disk writes; after this time another one may lead.
CONFIRM_TIMEOUT_MS = 700
RETRY_DELAY_S = 0.1


class LossReporter:
    """Sends losses to the leader until it confirms that they are recorded."""

    def __init__(self, bus: Bus, control_sync: ControlSync, clock: Clock):
        self._bus = bus
        self._control_sync = control_sync
        self._clock = clock
        self._losses = UnconfirmedLosses()
        self._has_losses = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sending reports."""
        self._task = asyncio.ensure_future(self._send_reports())

    def record(self, fingerprint: str, counted_once_at: str) -> None:
        """Report a request whose endpoint broke the connection or the answer."""
        attempt = f"{random.getrandbits(64):016x}"
        loss = LostRequest(fingerprint, attempt, counted_once_at=counted_once_at)
        log_event(
            LOSS_REPORTED, fingerprint=fingerprint, counted_once_at=counted_once_at
        )
        self._losses.record(loss, self._clock.now_ms())
        self._has_losses.set()

    async def stop(self, timeout_s: float) -> None:
        """Wait until all losses are recorded, at most for a time, then stop."""
        if self._task is None:
            return
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                while self._has_losses.is_set():
                    await asyncio.sleep(RETRY_DELAY_S / 2)
        except TimeoutError:
            lost = self._losses.report(self._clock.now_ms())
            fingerprints = sorted({loss.fingerprint for loss in lost})
            log_event(LOSSES_UNRECORDED, fingerprints=fingerprints)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _send_reports(self) -> None:
        while True:
            await self._has_losses.wait()
            losses = self._losses.report(self._clock.now_ms())
            if not losses:
                self._has_losses.clear()
            elif await self._is_recorded(losses):
                self._losses.confirm(losses)
            else:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _is_recorded(self, losses: list[LostRequest]) -> bool:
        leader = self._control_sync.view.leader
        if not leader:
            return False
        body = msgspec.msgpack.encode(losses)
        try:
            answer = await self._bus.request(
                leader, "record_losses", body, CONFIRM_TIMEOUT_MS
            )
        except BusTimeoutError:
            return False
        return msgspec.msgpack.decode(answer, type=bool)
