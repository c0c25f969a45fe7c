"""Callers of the fault soak, which record what they were told."""

import http.client
import random
import threading
import time
from dataclasses import dataclass

from mustardtrack.testing.seededendpoints import STREAM_EVENTS
from mustardtrack.testing.seededhosts import look_up

# Caller's patience; the routes allow as much.
TIME_LEFT_MS = 2500
READ_TIMEOUT_S = 6.0
ADDRESS_LIFETIME_S = 2.0
LONGEST_PAUSE_S = 0.08
HOST = "a.example"
# Path prefix by kind of request.
KINDS = {"booking": "/book/", "lookup": "/read/", "stream": "/stream/"}


@dataclass(frozen=True)
class Told:
    """What a caller was told of one request.

    Attributes:
        status: Status of the answer, 0 if there was none.
        is_whole: Whether the answer came to its end.
        is_own: Whether the answer belongs to the request.
    """

    request_id: str
    kind: str
    router: str
    sent_s: float
    ended_s: float
    status: int
    is_whole: bool
    is_own: bool
    note: str = ""


class Caller(threading.Thread):
    """One caller that keeps its connection until it breaks.

    Args:
        number: Number of the caller.
        controls: Control hosts to ask for addresses.
        key: Key of its account.
        seed: Seed of its choices.
    """

    def __init__(self, number: int, controls: tuple[str, ...], key: str, seed: int):
        super().__init__(daemon=True)
        self.told: list[Told] = []
        self.stopping = threading.Event()
        self._number = number
        self._controls = controls
        self._key = key
        self._rng = random.Random(seed * 1000 + number)
        self._addresses: list[str] = []
        self._asked_s = 0.0
        self._connection: http.client.HTTPConnection | None = None
        self._router = ""

    def run(self) -> None:
        """Send requests until told to stop."""
        count = 0
        while not self.stopping.is_set():
            count += 1
            self._refresh()
            if self._addresses:
                self._send(f"c{self._number}-{count}")
            time.sleep(self._rng.random() * LONGEST_PAUSE_S)

    def _refresh(self) -> None:
        now_s = time.monotonic()
        if now_s - self._asked_s < ADDRESS_LIFETIME_S and self._addresses:
            return
        for control in self._rng.sample(self._controls, len(self._controls)):
            try:
                found = look_up(control)
            except (OSError, ValueError, http.client.HTTPException):
                continue  # The next one is asked, as callers of the system do.
            if found:
                self._addresses, self._asked_s = found, now_s
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
        kind = self._rng.choice(list(KINDS))
        connection = self._connect()
        sent_s = time.monotonic()
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(TIME_LEFT_MS),
            "Authorization": f"Bearer {self._key}",
        }
        status, is_whole, is_own, note = 0, False, True, ""
        try:
            body = request_id.encode()
            connection.request("POST", KINDS[kind] + "1", body, headers)
            answer = connection.getresponse()
            status = answer.status
            content = answer.read()
            is_whole = True
            if status == 200:
                is_own = content == _expected(kind, request_id)
                note = "" if is_own else repr(content[:200])
            if answer.getheader("connection") == "close":
                self._connection = None
        except (OSError, http.client.HTTPException) as error:
            note = repr(error)
            connection.close()
            self._connection = None
        self.told.append(
            Told(
                request_id,
                kind,
                self._router.rpartition(":")[0],
                sent_s,
                time.monotonic(),
                status,
                is_whole,
                is_own,
                note,
            )
        )


def _expected(kind: str, request_id: str) -> bytes:
    if kind != "stream":
        return b"echo " + request_id.encode()
    return b"".join(
        f"id: {number}\ndata: {request_id}\n\n".encode()
        for number in range(1, STREAM_EVENTS + 1)
    )
