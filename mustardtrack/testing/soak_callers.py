"""Callers of the fault soak, which record the result of every request."""

import http.client
import random
import threading
import time
from dataclasses import dataclass

from mustardtrack.testing.faulty_endpoints import STREAM_EVENTS
from mustardtrack.testing.seeded_hosts import look_up_routers

# Deadline that callers send; the time-out of the routes is equal to it.
DEADLINE_MS = 2500
READ_TIMEOUT_S = 6.0
ADDRESS_TTL_S = 2.0
MAX_PAUSE_S = 0.08
ROUTE_HOST = "a.example"
# Path prefix of the route for each kind of request.
PATH_PREFIXES = {
    "booking": "/book/",
    "lookup": "/read/",
    "stream": "/stream/",
    "slow": "/slow/",
}
# Slow streams have a longer time limit. One that begins while callers may still use a
# directory answer with a stopping router ends before the router closes connections.
SLOW_DEADLINE_MS = 4500
SLOW_PAUSE_S = 0.1
# Slow callers begin at different times, so that a router always has open streams.
MAX_SLOW_START_S = 3.5


@dataclass(frozen=True)
class RequestRecord:
    """Result of one request as its caller saw it.

    Attributes:
        request_id: Id that the endpoints count executions by.
        kind: Kind of request, a key of ``PATH_PREFIXES``.
        router: Host of the router that the request was sent to.
        sent_s: Time at which the request was sent.
        ended_s: Time at which the response or the connection ended.
        status: Status of the response, 0 if there was none.
        is_complete: Whether the response was received completely.
        matches_request: Whether a successful response has the content that belongs to
            the request.
        note: The connection error, or the start of a response that does not match.
    """

    request_id: str
    kind: str
    router: str
    sent_s: float
    ended_s: float
    status: int
    is_complete: bool
    matches_request: bool
    note: str = ""


class Caller(threading.Thread):
    """Caller thread that reuses its connection until it breaks.

    Args:
        number: Number of the caller.
        controls: Control hosts to look up router addresses at.
        key: API key of its client account.
        seed: Seed of the soak.
    """

    _kinds: tuple[str, ...] = ("booking", "lookup", "stream")
    _deadline_ms = DEADLINE_MS

    def __init__(self, number: int, controls: tuple[str, ...], key: str, seed: int):
        super().__init__(daemon=True)
        self.records: list[RequestRecord] = []
        self.stop_requested = threading.Event()
        self._number = number
        self._controls = controls
        self._key = key
        self._rng = random.Random(seed * 1000 + number)
        self._addresses: list[str] = []
        self._addresses_read_s = 0.0
        self._connection: http.client.HTTPConnection | None = None
        self._router = ""

    def run(self) -> None:
        """Send requests until ``stop_requested`` is set."""
        count = 0
        while not self.stop_requested.is_set():
            count += 1
            self._refresh_addresses()
            if self._addresses:
                self._send(f"c{self._number}-{count}")
            time.sleep(self._rng.random() * MAX_PAUSE_S)

    def _refresh_addresses(self) -> None:
        now_s = time.monotonic()
        if now_s - self._addresses_read_s < ADDRESS_TTL_S and self._addresses:
            return
        for control in self._rng.sample(self._controls, len(self._controls)):
            try:
                addresses = look_up_routers(control)
            except (OSError, ValueError, http.client.HTTPException):
                continue  # The next control host is tried, as real callers do.
            if addresses:
                self._addresses, self._addresses_read_s = addresses, now_s
                return

    def _connect(self) -> http.client.HTTPConnection:
        if self._connection is None or self._router not in self._addresses:
            self._router = self._rng.choice(self._addresses)
            host, _, port = self._router.rpartition(":")
            self._connection = http.client.HTTPConnection(
                host, int(port), timeout=READ_TIMEOUT_S
            )
        return self._connection

    def _send(self, request_id: str) -> None:
        kind = self._rng.choice(self._kinds)
        connection = self._connect()
        sent_s = time.monotonic()
        headers = {
            "Host": ROUTE_HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(self._deadline_ms),
            "Authorization": f"Bearer {self._key}",
        }
        status, is_complete, matches_request, note = 0, False, True, ""
        try:
            body = request_id.encode()
            connection.request("POST", PATH_PREFIXES[kind] + "1", body, headers)
            response = connection.getresponse()
            status = response.status
            content = response.read()
            is_complete = True
            if status == 200:
                matches_request = content == _expected_body(kind, request_id)
                note = "" if matches_request else repr(content[:200])
            if response.getheader("connection") == "close":
                self._connection = None
        except (OSError, http.client.HTTPException) as error:
            note = repr(error)
            connection.close()
            self._connection = None
        self.records.append(
            RequestRecord(
                request_id,
                kind,
                self._router.rpartition(":")[0],
                sent_s,
                time.monotonic(),
                status,
                is_complete,
                matches_request,
                note,
            )
        )


class SlowCaller(Caller):
    """Caller of slow streams that stays with one router, also while it stops.

    Args:
        number: Number of the caller.
        router: Address of the router.
        key: API key of its client account.
        seed: Seed of the soak.
    """

    _kinds = ("slow",)
    _deadline_ms = SLOW_DEADLINE_MS

    def __init__(self, number: int, router: str, key: str, seed: int):
        super().__init__(number, (), key, seed)
        self._addresses = [router]

    def run(self) -> None:
        """Send requests until ``stop_requested`` is set."""
        self.stop_requested.wait(self._rng.random() * MAX_SLOW_START_S)
        super().run()

    def _refresh_addresses(self) -> None:
        time.sleep(SLOW_PAUSE_S)


def _expected_body(kind: str, request_id: str) -> bytes:
    if kind not in ("stream", "slow"):
        return b"echo " + request_id.encode()
    return b"".join(
        f"id: {number}\ndata: {request_id}\n\n".encode()
        for number in range(1, STREAM_EVENTS + 1)
    )
