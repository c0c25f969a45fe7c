"""Detection and counting of requests that crash endpoints."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from mustardtrack.adapters.http_endpoints import EndpointError, HttpEndpointClient
from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.configuration import ClearCrashes, CrashCounted, ReportCrash
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import SuspectNotice
from mustardtrack.process.control_client import ControlClient, ControlUnavailableError
from mustardtrack.process.membership_tasks import probe_endpoint
from mustardtrack.process.traffic import Traffic
from mustardtrack.routing import Choice

CRASH_REPORTED = define_event(8611, "WARNING", "death of an endpoint counted")
CRASH_NOT_REPORTED = define_event(8612, "ERROR", "death of an endpoint not counted")

REPORT_TIMEOUT_MS = 4000
PROBE_TIMEOUT_MS = 500
NOTICE_TIMEOUT_MS = 500
PROBES = 3
PROBE_PAUSE_MS = 100
LOCAL_QUARANTINE_MS = 20_000

SUSPICIOUS = ("connection_lost", "connect_failed")


@dataclass(frozen=True)
class CrashResult:
    """Result of the check after a failed attempt.

    Attributes:
        died: The endpoint's process has ended since the attempt began.
        counted: False if a death could not be counted; the request must then not
            be tried again, or the bound on lost endpoints would not hold.
    """

    died: bool
    counted: bool = True


class CrashWatch:
    """Finds out whether an endpoint died, and reports what it was running.

    Args:
        traffic: Shared state of the router.
        control: Client of the control group.
        http: Client for endpoints.
        bus: Message bus.
        peers: Bus addresses of the other routers, by name.
    """

    def __init__(
        self,
        traffic: Traffic,
        control: ControlClient,
        http: HttpEndpointClient,
        bus: Bus,
        peers: Mapping[str, str],
    ):
        self._traffic = traffic
        self._control = control
        self._http = http
        self._bus = bus
        self._peers = peers
        self._checks: dict[tuple[str, str], asyncio.Task[CrashResult]] = {}
        self._local: dict[str, int] = {}

    def quarantined(self) -> frozenset[str]:
        """Return the quarantined fingerprints.

        Those that this router learned of first-hand are contained before the
        configuration copy has them.
        """
        now_ms = self._traffic.clock.now_ms()
        followed = self._traffic.copy.quarantined()
        for name, since_ms in list(self._local.items()):
            # Once the copy has it, the copy alone decides when it is released.
            if name in followed or now_ms - since_ms > LOCAL_QUARANTINE_MS:
                del self._local[name]
        return followed | self._local.keys()

    async def check(self, choice: Choice, reason: str) -> CrashResult:
        """Check the endpoint of a failed attempt.

        All requests that failed with one incarnation wait for one check.
        """
        if reason not in SUSPICIOUS:
            return CrashResult(died=False)
        key = (choice.endpoint, choice.incarnation)
        task = self._checks.get(key)
        if task is None:
            task = asyncio.ensure_future(self._examine(*key))
            self._checks[key] = task
            task.add_done_callback(lambda _: self._checks.pop(key, None))
        return await asyncio.shield(task)

    def clear(self, fingerprint: str) -> None:
        """Clear a suspect that has completed."""
        self._traffic.background(self._send_clear(fingerprint))

    async def _examine(self, endpoint: str, incarnation: str) -> CrashResult:
        if not await self._is_dead(endpoint, incarnation):
            return CrashResult(died=False)
        traffic = self._traffic
        now_ms = traffic.clock.now_ms()
        traffic.endpoints.record_attempt_result(endpoint, incarnation, False, now_ms)
        fingerprints = traffic.suspects.endpoint_died(endpoint, incarnation, now_ms)
        counted = await asyncio.gather(
            *(self._report(one, endpoint, incarnation) for one in fingerprints)
        )
        await self._notify(fingerprints)
        return CrashResult(died=True, counted=all(counted))

    async def _notify(self, fingerprints: list[str]) -> None:
        """Tell the live routers before this router or its caller goes on.

        The configuration reaches them some time later, and a caller that sends
        the request again at once through another router must find it contained.
        """
        quarantined = self.quarantined()
        notice = SuspectNotice(
            fingerprints, [one for one in fingerprints if one in quarantined]
        )
        body = msgspec.msgpack.encode(notice)
        now_ms = self._traffic.clock.now_ms()
        live = {one.name for one in self._traffic.hosts.live_routers(now_ms)}
        addresses = [self._peers[name] for name in live & self._peers.keys()]
        await asyncio.gather(*(self._send_notice(one, body) for one in addresses))

    async def _send_notice(self, address: str, body: bytes) -> None:
        try:
            await self._bus.request(address, "suspect", body, NOTICE_TIMEOUT_MS)
        except BusTimeoutError:
            self._traffic.metrics.count("crash.notice_lost")

    async def receive_notice(self, sender: str, body: bytes) -> bytes:
        """Take in a notice of another router and acknowledge it."""
        notice = msgspec.msgpack.decode(body, type=SuspectNotice)
        now_ms = self._traffic.clock.now_ms()
        self._traffic.suspects.add(notice.suspects, now_ms)
        self._local.update(dict.fromkeys(notice.quarantined, now_ms))
        return b""

    async def _is_dead(self, endpoint: str, incarnation: str) -> bool:
        """Return whether the incarnation is certain to have ended.

        An endpoint that cannot be reached at all is not known to be dead.
        """
        found: Any = self._traffic.copy.objects("endpoint").get(endpoint)
        if found is None:
            return False
        for _ in range(PROBES):
            health = await probe_endpoint(self._http, found.address, PROBE_TIMEOUT_MS)
            if health is not None:
                return health.incarnation != incarnation
            if await self._refuses(found.address):
                return True
            await asyncio.sleep(PROBE_PAUSE_MS / 1000)
        return False

    async def _refuses(self, address: str) -> bool:
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
                self._local[fingerprint] = self._traffic.clock.now_ms()
        return True

    async def _send_clear(self, fingerprint: str) -> None:
        try:
            await self._control.submit(ClearCrashes(fingerprint), REPORT_TIMEOUT_MS)
        except ControlUnavailableError:
            # The count stays; the next completion clears it.
            self._traffic.metrics.count("crash.clear_failed")
