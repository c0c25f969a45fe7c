"""Callers that check every answer while processes are killed, paused and stopped.

Each caller behaves as the caller protocol asks: it takes addresses from discovery,
keeps them for their time to live, and sends a booking again under the same key
until it has an answer or is told that the outcome is unknown.
"""

import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPException
from typing import Any

from mustardtrack.testing.client import call, read_stream
from mustardtrack.testing.deployment import Deployment, new_key
from mustardtrack.testing.text import expected_text

CALL_TIMEOUT_S = 45.0
RESEND_LIMIT_S = 90.0
RESEND_PAUSE_S = 0.2
STREAM_TOKENS = 40
CONNECTION_ERRORS = (OSError, HTTPException)


@dataclass
class Booking:
    """One booking and what its caller was told."""

    key: str
    sends: int = 0
    told: list[str] = field(default_factory=list)
    answer: Any = None


@dataclass
class Findings:
    """Counts and violations of one campaign."""

    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    bookings: list[Booking] = field(default_factory=list)
    longest_s: float = 0.0
    notes: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def count(self, name: str) -> None:
        """Add one to a counter."""
        with self.lock:
            self.counts[name] += 1

    def note(self, text: str) -> None:
        """Keep a remark with the time of day."""
        with self.lock:
            self.notes.append(f"{time.strftime('%H:%M:%S')} {text}")

    def violate(self, text: str) -> None:
        """Record a violation."""
        with self.lock:
            self.violations.append(text)


class Caller(threading.Thread):
    """One caller with its own seeded choices.

    Args:
        deployment: The running deployment.
        findings: Receives counts and violations.
        number: Number of the caller.
        seed: Seed of its choices.
        cuts_allowed: Whether connections may break, as they do when a router is
            killed; a planned stop must not break any.
    """

    def __init__(
        self,
        deployment: Deployment,
        findings: Findings,
        number: int,
        seed: int,
        cuts_allowed: bool,
    ):
        super().__init__(daemon=True)
        self._deployment = deployment
        self._findings = findings
        self._number = number
        self._rng = random.Random(seed * 1000 + number)
        self._cuts_allowed = cuts_allowed
        self._addresses: list[str] = []
        self._expires = 0.0
        self._serial = 0
        self.ended = threading.Event()

    def run(self) -> None:
        """Send requests until told to end."""
        while not self.ended.is_set():
            self._serial += 1
            started = time.monotonic()
            try:
                if self._rng.random() < 0.5:
                    self._book()
                else:
                    self._stream()
            except Exception as error:  # noqa: BLE001
                self._findings.violate(f"caller {self._number}: {error!r}")
            took_s = time.monotonic() - started
            with self._findings.lock:
                self._findings.longest_s = max(self._findings.longest_s, took_s)

    def _choose(self) -> str:
        """Return an address of the last discovery answer."""
        if time.monotonic() >= self._expires or not self._addresses:
            self._discover()
        return self._rng.choice(self._addresses)

    def _discover(self) -> None:
        routers = [
            self._deployment.callers(number + 1)
            for number in range(self._deployment.routers)
        ]
        self._rng.shuffle(routers)
        for address in routers:
            # The time to live counts from before the question.
            asked = time.monotonic()
            try:
                status, body, _ = call(address, "GET", "/v1/discovery", timeout_s=2)
            except CONNECTION_ERRORS:
                continue
            if status == 200 and body["addresses"]:
                self._addresses = [one["address"] for one in body["addresses"]]
                self._expires = asked + body["ttl_ms"] / 1000
                return
        self._addresses = routers
        self._expires = 0.0

    def _forget(self, address: str) -> None:
        self._addresses = [one for one in self._addresses if one != address]

    def _book(self) -> None:
        booking = Booking(new_key())
        with self._findings.lock:
            self._findings.bookings.append(booking)
        body = {"caller": self._number, "serial": self._serial}
        deadline = time.monotonic() + RESEND_LIMIT_S
        while time.monotonic() < deadline:
            told = self._send_booking(booking, body)
            booking.told.append(told)
            if told in ("answered", "outcome_unknown", "key_expired"):
                self._findings.count(f"booking.{told}")
                return
            time.sleep(RESEND_PAUSE_S * self._rng.uniform(0.5, 1.5))
        self._findings.count("booking.gave_up")

    def _send_booking(self, booking: Booking, body: Any) -> str:
        address = self._choose()
        headers = self._deployment.headers(self._account())
        headers["Idempotency-Key"] = booking.key
        path = f"/v1/services/{self._deployment.service}/bookings"
        booking.sends += 1
        try:
            status, answer, _ = call(
                address, "POST", path, body, headers, CALL_TIMEOUT_S
            )
        except CONNECTION_ERRORS as error:
            self._note_cut(address, "booking", error)
            return "cut"
        if status < 300:
            booking.answer = answer
            if answer.get("key") != booking.key:
                self._findings.violate(f"booking {booking.key} got {answer}")
            return "answered"
        error_body = answer["error"]
        self._findings.count(f"refused.{error_body['code']}")
        if error_body["code"] == "outcome_unknown":
            return "outcome_unknown"
        return str(error_body["ran"])

    def _stream(self) -> None:
        prompt = f"case {self._rng.randrange(20)}: " * 300
        prompt += f"question {self._number}.{self._serial}"
        body = {
            "model": self._deployment.model,
            "prompt": prompt,
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        expected = expected_text(self._deployment.model, prompt, STREAM_TOKENS)
        address = self._choose()
        headers = self._deployment.headers(self._account())
        texts: list[str] = []
        end = "cut"
        cause: Exception | None = None
        started = time.monotonic()
        try:
            for event in read_stream(
                address, "/v1/completions", body, headers, CALL_TIMEOUT_S
            ):
                end = self._take_event(event, texts) or end
        except RuntimeError:
            end = "refused"
        except CONNECTION_ERRORS as error:
            end, cause = "cut", error
        self._check_stream(end, "".join(texts), expected)
        if end == "cut":
            took_s = time.monotonic() - started
            self._findings.note(f"stream at {address} cut after {took_s:.1f} s")
            self._note_cut(address, "stream", cause)

    def _take_event(self, event: dict[str, Any], texts: list[str]) -> str | None:
        if "done" in event:
            return "whole"
        if "error" in event:
            self._findings.count(f"stream_error.{event['error']['code']}")
            return "error"
        if "piece" in event:
            if event["piece"] != len(texts):
                self._findings.violate(
                    f"piece {event['piece']} arrived after {len(texts)} pieces"
                )
            texts.append(event["choices"][0]["text"])
        return None

    def _check_stream(self, end: str, text: str, expected: str) -> None:
        self._findings.count(f"stream.{end}")
        if not expected.startswith(text):
            self._findings.violate("a stream is not a prefix of its answer")
        if end == "whole" and text != expected:
            self._findings.violate("a stream ended normally before it was whole")

    def _note_cut(self, address: str, what: str, error: Exception | None) -> None:
        self._forget(address)
        self._findings.count(f"cut.{what}")
        if not self._cuts_allowed:
            self._findings.violate(f"{what} at {address} was cut: {error!r}")

    def _account(self) -> str:
        accounts = self._deployment.accounts
        return accounts[self._number % len(accounts)]


@dataclass
class Campaign:
    """Runs callers and faults against a deployment.

    Args:
        deployment: A started deployment whose services write journals.
        seed: Seed of callers and faults.
        callers: Number of callers.
        cuts_allowed: See :class:`Caller`.
    """

    deployment: Deployment
    seed: int
    callers: int = 12
    cuts_allowed: bool = True
    findings: Findings = field(default_factory=Findings)

    def run(self, disturb: Callable[[random.Random, Findings], None]) -> Findings:
        """Send requests while ``disturb`` runs, then check all bookings."""
        threads = [
            Caller(self.deployment, self.findings, number, self.seed, self.cuts_allowed)
            for number in range(self.callers)
        ]
        for thread in threads:
            thread.start()
        try:
            disturb(random.Random(self.seed), self.findings)
        finally:
            for thread in threads:
                thread.ended.set()
            for thread in threads:
                thread.join(RESEND_LIMIT_S + CALL_TIMEOUT_S)
        self._check_bookings()
        return self.findings

    def _check_bookings(self) -> None:
        runs = count_runs(self.deployment)
        for booking in self.findings.bookings:
            count = runs[booking.key]
            self.findings.count(f"runs.{count}")
            if count > 1:
                self.findings.violate(f"booking {booking.key} ran {count} times")
            if booking.answer is not None and count != 1:
                self.findings.violate(f"answered booking {booking.key} ran {count}")
            if count and booking.told and set(booking.told) == {"not_run"}:
                self.findings.violate(f"booking {booking.key} ran, told not_run")


def count_runs(deployment: Deployment) -> Counter[str]:
    """Return the number of runs of each key, over restarts of the services."""
    runs: Counter[str] = Counter()
    for path in deployment.fleet.folder.glob("*.journal"):
        for line in path.read_text().splitlines():
            runs[json.loads(line)["key"]] += 1
    return runs


class FaultSchedule:
    """Random faults against the processes of a deployment.

    Args:
        deployment: The deployment.
        duration_s: Time for which faults occur.
        kinds: Faults to choose from, see ``FAULTS``.
        pause_s: Time between two faults, on average.
    """

    def __init__(
        self,
        deployment: Deployment,
        duration_s: float,
        kinds: tuple[str, ...],
        pause_s: float = 2.0,
    ):
        self._deployment = deployment
        self._duration_s = duration_s
        self._kinds = kinds
        self._pause_s = pause_s

    def __call__(self, rng: random.Random, findings: Findings) -> None:
        """Cause faults until the time is over; everything runs again at the end."""
        deadline = time.monotonic() + self._duration_s
        time.sleep(1.0)
        while time.monotonic() < deadline:
            kind = rng.choice(self._kinds)
            target = FAULTS[kind](self, rng)
            findings.count(f"fault.{kind}")
            findings.note(f"{kind} {target} done")
            time.sleep(rng.uniform(0.5, 1.5) * self._pause_s)

    def kill_router(self, rng: random.Random) -> str:
        """Kill a router and start it again."""
        return self._kill(self._router(rng), rng)

    def pause_router(self, rng: random.Random) -> str:
        """Pause a router for longer than the dispatch window."""
        return self._pause(self._router(rng), rng.uniform(0.5, 6.0))

    def kill_control(self, rng: random.Random) -> str:
        """Kill a control replica and start it again."""
        return self._kill(self._control(rng), rng)

    def pause_control(self, rng: random.Random) -> str:
        """Pause a control replica."""
        return self._pause(self._control(rng), rng.uniform(0.5, 5.0))

    def kill_endpoint(self, rng: random.Random) -> str:
        """Kill an engine or a service, which comes back empty."""
        names = [
            name
            for name in self._deployment.members
            if not name.startswith(("router", "control"))
        ]
        member = self._deployment.members[rng.choice(sorted(names))]
        member.kill()
        time.sleep(rng.uniform(0.1, 1.0))
        member.start()
        return member.name

    def stop_router(self, rng: random.Random) -> str:
        """Stop a router as planned and start it again."""
        name = self._router(rng)
        self.stop_planned(name)
        self._deployment.restart(name)
        return name

    def _router(self, rng: random.Random) -> str:
        return f"router-{rng.randint(1, self._deployment.routers)}"

    def _control(self, rng: random.Random) -> str:
        return f"control-{rng.randint(1, self._deployment.controls)}"

    def stop_planned(self, name: str) -> None:
        """Stop a daemon as planned; its exit code must be 0.

        Raises:
            RuntimeError: If the daemon interrupted requests.
        """
        code = self._deployment.members[name].stop(150)
        if code != 0:
            raise RuntimeError(f"{name} exited with {code}")

    def _kill(self, name: str, rng: random.Random) -> str:
        self._deployment.members[name].kill()
        time.sleep(rng.uniform(0.1, 1.5))
        self._deployment.restart(name)
        return name

    def _pause(self, name: str, duration_s: float) -> str:
        member = self._deployment.members[name]
        member.pause()
        time.sleep(duration_s)
        member.resume()
        return name


FAULTS: dict[str, Callable[[FaultSchedule, random.Random], str]] = {
    "kill_router": FaultSchedule.kill_router,
    "pause_router": FaultSchedule.pause_router,
    "kill_control": FaultSchedule.kill_control,
    "pause_control": FaultSchedule.pause_control,
    "kill_endpoint": FaultSchedule.kill_endpoint,
    "stop_router": FaultSchedule.stop_router,
}


def restart_all(deployment: Deployment) -> Callable[[random.Random, Findings], None]:
    """Return a rolling planned restart of all daemons, one after the other."""

    def disturb(rng: random.Random, findings: Findings) -> None:
        schedule = FaultSchedule(deployment, 0, ())
        names = [f"router-{number + 1}" for number in range(deployment.routers)]
        names += [f"control-{number + 1}" for number in range(deployment.controls)]
        for name in names:
            schedule.stop_planned(name)
            deployment.restart(name)
            findings.count("planned_stop")
            time.sleep(1.0)

    return disturb
