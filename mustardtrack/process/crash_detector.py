"""Detection and counting of requests that crash endpoints."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from mustardtrack.adapters.endpoint_client import EndpointError, HttpEndpointClient
from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.configuration import ClearCrashes, CrashCounted, ReportCrash
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import SuspectNotice
from mustardtrack.process.control_client import ControlClient, ControlUnavailableError
from mustardtrack.process.membership_tasks import probe_endpoint
from mustardtrack.process.shared_state import SharedState
from mustardtrack.routing import Choice

CRASH_REPORTED = define_event(8611, "WARNING", "endpoint crash counted")
CRASH_NOT_REPORTED = define_event(8612, "ERROR", "endpoint crash could not be counted")

REPORT_TIMEOUT_MS = 4000
PROBE_TIMEOUT_MS = 500
NOTICE_TIMEOUT_MS = 500
PROBE_COUNT = 3
PROBE_INTERVAL_MS = 100
LOCAL_QUARANTINE_LIFETIME_MS = 20_000

CRASH_REASONS = ("connection_lost", "connect_failed")


@dataclass(frozen=True)
class CrashResult:
    """Result of the crash check after a failed attempt.

    Attributes:
        crashed: Whether the endpoint process has ended since the attempt began.
        counted: False if a crash could not be counted; the request must then not
            be retried, or the bound on crashed endpoints would not hold.
    """

    crashed: bool
    counted: bool = True


class CrashDetector:
    """Detects endpoint crashes and reports the requests that were running.

    Args:
        shared: State shared by the requests of this router.
        control: Client of the control group.
        http: Client for endpoints.
        bus: Message bus.
        peers: Bus addresses of the other routers, by name.
    """

    def __init__(
        self,
        shared: SharedState,
        control: ControlClient,
        http: HttpEndpointClient,
        bus: Bus,
        peers: Mapping[str, str],
    ):
        self._shared = shared
        self._control = control
        self._http = http
        self._bus = bus
        self._peers = peers
        self._checks: dict[tuple[str, str], asyncio.Task[CrashResult]] = {}
        self._local_quarantine: dict[str, int] = {}

    def quarantined(self) -> frozenset[str]:
        """Return the quarantined fingerprints.

        Includes those that this router learned of before its configuration copy
        has them.
        """
        now_ms = self._shared.clock.now_ms()
        replicated = self._shared.configuration.quarantined()
        for fingerprint, since_ms in list(self._local_quarantine.items()):
            # Once replicated, the entry is released only through the configuration.
            if (
                fingerprint in replicated
                or now_ms - since_ms > LOCAL_QUARANTINE_LIFETIME_MS
            ):
                del self._local_quarantine[fingerprint]
        return replicated | self._local_quarantine.keys()

    async def check(self, choice: Choice, reason: str) -> CrashResult:
        """Check whether the endpoint of a failed attempt has crashed.

        Concurrent checks of the same incarnation share one probe.
        """
        if reason not in CRASH_REASONS:
            return CrashResult(crashed=False)
        key = (choice.endpoint, choice.incarnation)
        task = self._checks.get(key)
        if task is None:
            task = asyncio.ensure_future(self._check_incarnation(*key))
            self._checks[key] = task
            task.add_done_callback(lambda _: self._checks.pop(key, None))
        return await asyncio.shield(task)

    def clear(self, fingerprint: str) -> None:
        """Clear the crash count of a suspect that has completed."""
        self._shared.run_in_background(self._send_clear(fingerprint))

    async def _check_incarnation(self, endpoint: str, incarnation: str) -> CrashResult:
        if not await self._has_ended(endpoint, incarnation):
            return CrashResult(crashed=False)
        shared = self._shared
        now_ms = shared.clock.now_ms()
        shared.endpoints.record_attempt_result(endpoint, incarnation, False, now_ms)
        fingerprints = shared.suspects.endpoint_died(endpoint, incarnation, now_ms)
        counted = await asyncio.gather(
            *(
                self._report(fingerprint, endpoint, incarnation)
                for fingerprint in fingerprints
            )
        )
        await self._notify(fingerprints)
        return CrashResult(crashed=True, counted=all(counted))

    async def _notify(self, fingerprints: list[str]) -> None:
        """Notify the live routers before the request is retried or answered.

        Replication of the configuration takes longer, and a caller that resends the
        request through another router at once must find it quarantined.
        """
        quarantined = self.quarantined()
        notice = SuspectNotice(
            fingerprints,
            [fingerprint for fingerprint in fingerprints if fingerprint in quarantined],
        )
        body = msgspec.msgpack.encode(notice)
        now_ms = self._shared.clock.now_ms()
        live = {host.name for host in self._shared.hosts.live_routers(now_ms)}
        addresses = [self._peers[name] for name in live & self._peers.keys()]
        await asyncio.gather(
            *(self._send_notice(address, body) for address in addresses)
        )

    async def _send_notice(self, address: str, body: bytes) -> None:
        try:
            await self._bus.request(address, "suspect", body, NOTICE_TIMEOUT_MS)
        except BusTimeoutError:
            self._shared.metrics.count("crash.notice_lost")

    async def receive_notice(self, sender: str, body: bytes) -> bytes:
        """Handle a notice of another router and acknowledge it."""
        notice = msgspec.msgpack.decode(body, type=SuspectNotice)
        now_ms = self._shared.clock.now_ms()
        self._shared.suspects.add(notice.suspects, now_ms)
        self._local_quarantine.update(dict.fromkeys(notice.quarantined, now_ms))
        return b""

    async def _has_ended(self, endpoint: str, incarnation: str) -> bool:
        """Return whether the incarnation has certainly ended.

        An unreachable endpoint is not known to have ended.
        """
        endpoint_object: Any = self._shared.configuration.objects("endpoint").get(
            endpoint
        )
        if endpoint_object is None:
            return False
        for _ in range(PROBE_COUNT):
            health = await probe_endpoint(
                self._http, endpoint_object.address, PROBE_TIMEOUT_MS
            )
            if health is not None:
                return health.incarnation != incarnation
            if await self._refuses_connections(endpoint_object.address):
                return True
            await asyncio.sleep(PROBE_INTERVAL_MS / 1000)
        return False

    async def _refuses_connections(self, address: str) -> bool:
        try:
            await self._http.call(
                address, "GET", "/health", {}, b"", PROBE_TIMEOUT_MS, 65_536
            )
        except EndpointError as error:
            return error.reason == "connect_failed" and "refused" in str(error).lower()
        return False

    async def _report(self, fingerprint: str, endpoint: str, incarnation: str) -> bool:
        command = ReportCrash(fingerprint, endpoint, incarnation)
        try:
            outcome = await self._control.submit(command, REPORT_TIMEOUT_MS)
        except ControlUnavailableError as error:
            log_event(CRASH_NOT_REPORTED, endpoint=endpoint, error=str(error))
            return False
        if isinstance(outcome, CrashCounted):
            log_event(CRASH_REPORTED, endpoint=endpoint, deaths=outcome.deaths)
            if outcome.quarantined:
                self._local_quarantine[fingerprint] = self._shared.clock.now_ms()
        return True

    async def _send_clear(self, fingerprint: str) -> None:
        try:
            await self._control.submit(ClearCrashes(fingerprint), REPORT_TIMEOUT_MS)
        except ControlUnavailableError:
            # The crash count remains until the next completion clears it.
            self._shared.metrics.count("crash.clear_failed")
