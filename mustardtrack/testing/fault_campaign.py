"""Fault campaign: callers that verify every response while processes fail.

Each caller follows the caller protocol: it takes router addresses from discovery,
caches them for their time to live, and retries a booking under the same idempotency
key until it gets a response or an error that rules out further retries.
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
from mustardtrack.testing.local_deployment import Deployment, new_idempotency_key
from mustardtrack.testing.text import expected_text

CALL_TIMEOUT_S = 45.0
RETRY_LIMIT_S = 90.0
RETRY_PAUSE_S = 0.2
STREAM_TOKENS = 40
CONNECTION_ERRORS = (OSError, HTTPException)


@dataclass
class Booking:
    """One booking with the outcome of each send."""

    key: str
    sends: int = 0
    outcomes: list[str] = field(default_factory=list)
    answer: Any = None


@dataclass
class CampaignResult:
    """Counters, notes and invariant violations of one campaign."""

    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    bookings: list[Booking] = field(default_factory=list)
    longest_request_s: float = 0.0
    notes: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def count(self, name: str) -> None:
        """Increment a counter."""
        with self.lock:
            self.counts[name] += 1

    def add_note(self, text: str) -> None:
        """Append a note prefixed with the time of day."""
        with self.lock:
            self.notes.append(f"{time.strftime('%H:%M:%S')} {text}")

    def record_violation(self, text: str) -> None:
        """Append a description of a violated invariant."""
        with self.lock:
            self.violations.append(text)


class Caller(threading.Thread):
    """Caller thread with its own seeded random generator.

    Args:
        deployment: The running deployment.
        result: Collects counters and violations.
        number: Number of the caller.
        seed: Seed of the campaign.
        disconnects_allowed: Whether connections may break, as they do when a router
            is killed; a graceful shutdown must not break any.
    """

    def __init__(
        self,
        deployment: Deployment,
        result: CampaignResult,
        number: int,
        seed: int,
        disconnects_allowed: bool,
    ):
        super().__init__(daemon=True)
        self._deployment = deployment
        self._result = result
        self._number = number
        self._rng = random.Random(seed * 1000 + number)
        self._disconnects_allowed = disconnects_allowed
        self._addresses: list[str] = []
        self._addresses_expire_s = 0.0
        self._request_number = 0
        self.stop_requested = threading.Event()

    def run(self) -> None:
        """Send requests until ``stop_requested`` is set."""
        while not self.stop_requested.is_set():
            self._request_number += 1
            started = time.monotonic()
            try:
                if self._rng.random() < 0.5:
                    self._book()
                else:
                    self._stream()
            except Exception as error:  # noqa: BLE001
                self._result.record_violation(f"caller {self._number}: {error!r}")
            elapsed_s = time.monotonic() - started
            with self._result.lock:
                self._result.longest_request_s = max(
                    self._result.longest_request_s, elapsed_s
                )

    def _choose_address(self) -> str:
        """Return a random address from the cached discovery response."""
        if time.monotonic() >= self._addresses_expire_s or not self._addresses:
            self._discover()
        return self._rng.choice(self._addresses)

    def _discover(self) -> None:
        routers = [
            self._deployment.callers(number + 1)
            for number in range(self._deployment.routers)
        ]
        self._rng.shuffle(routers)
        for address in routers:
            # The time to live counts from before the discovery request is sent.
            requested = time.monotonic()
            try:
                status, body, _ = call(address, "GET", "/v1/discovery", timeout_s=2)
            except CONNECTION_ERRORS:
                continue
            if status == 200 and body["addresses"]:
                self._addresses = [entry["address"] for entry in body["addresses"]]
                self._addresses_expire_s = requested + body["ttl_ms"] / 1000
                return
        self._addresses = routers
        self._addresses_expire_s = 0.0

    def _discard_address(self, address: str) -> None:
        self._addresses = [entry for entry in self._addresses if entry != address]

    def _book(self) -> None:
        booking = Booking(new_idempotency_key())
        with self._result.lock:
            self._result.bookings.append(booking)
        body = {"caller": self._number, "serial": self._request_number}
        deadline = time.monotonic() + RETRY_LIMIT_S
        while time.monotonic() < deadline:
            outcome = self._send_booking(booking, body)
            booking.outcomes.append(outcome)
            if outcome in ("answered", "outcome_unknown", "key_expired"):
                self._result.count(f"booking.{outcome}")
                return
            time.sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))
        self._result.count("booking.gave_up")

    def _send_booking(self, booking: Booking, body: Any) -> str:
        """Send a booking once and return the outcome.

        The outcome is ``answered``, ``cut`` if the connection broke,
        ``outcome_unknown``, or the field ``ran`` of another error.
        """
        address = self._choose_address()
        headers = self._deployment.headers(self._account())
        headers["Idempotency-Key"] = booking.key
        path = f"/v1/services/{self._deployment.service}/bookings"
        booking.sends += 1
        try:
            status, answer, _ = call(
                address, "POST", path, body, headers, CALL_TIMEOUT_S
            )
        except CONNECTION_ERRORS as error:
            self._record_disconnect(address, "booking", error)
            return "cut"
        if status < 300:
            booking.answer = answer
            if answer.get("key") != booking.key:
                self._result.record_violation(
                    f"booking {booking.key} got the response of another one: {answer}"
                )
            return "answered"
        error_body = answer["error"]
        self._result.count(f"refused.{error_body['code']}")
        if error_body["code"] == "outcome_unknown":
            return "outcome_unknown"
        return str(error_body["ran"])

    def _stream(self) -> None:
        prompt = f"case {self._rng.randrange(20)}: " * 300
        prompt += f"question {self._number}.{self._request_number}"
        body = {
            "model": self._deployment.model,
            "prompt": prompt,
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        expected = expected_text(self._deployment.model, prompt, STREAM_TOKENS)
        address = self._choose_address()
        headers = self._deployment.headers(self._account())
        texts: list[str] = []
        outcome = "cut"
        cause: Exception | None = None
        started = time.monotonic()
        try:
            for event in read_stream(
                address, "/v1/completions", body, headers, CALL_TIMEOUT_S
            ):
                outcome = self._process_event(event, texts) or outcome
        except RuntimeError:
            outcome = "refused"
        except CONNECTION_ERRORS as error:
            outcome, cause = "cut", error
        self._check_stream(outcome, "".join(texts), expected)
        if outcome == "cut":
            elapsed_s = time.monotonic() - started
            self._result.add_note(
                f"stream at {address} disconnected after {elapsed_s:.1f} s"
            )
            self._record_disconnect(address, "stream", cause)

    def _process_event(self, event: dict[str, Any], texts: list[str]) -> str | None:
        if "done" in event:
            return "whole"
        if "error" in event:
            self._result.count(f"stream_error.{event['error']['code']}")
            return "error"
        if "piece" in event:
            if event["piece"] != len(texts):
                self._result.record_violation(
                    f"chunk {event['piece']} received out of order after "
                    f"{len(texts)} chunks"
                )
            texts.append(event["choices"][0]["text"])
        return None

    def _check_stream(self, outcome: str, text: str, expected: str) -> None:
        self._result.count(f"stream.{outcome}")
        if not expected.startswith(text):
            self._result.record_violation(
                "streamed text is not a prefix of the expected completion"
            )
        if outcome == "whole" and text != expected:
            self._result.record_violation("stream ended normally but is incomplete")

    def _record_disconnect(
        self, address: str, kind: str, error: Exception | None
    ) -> None:
        self._discard_address(address)
        self._result.count(f"cut.{kind}")
        if not self._disconnects_allowed:
            self._result.record_violation(
                f"{kind} at {address} was disconnected: {error!r}"
            )

    def _account(self) -> str:
        accounts = self._deployment.accounts
        return accounts[self._number % len(accounts)]


@dataclass
class Campaign:
    """Runs callers against a deployment while disruptions are injected.

    Args:
        deployment: A started deployment whose services write journals.
        seed: Seed of callers and disruptions.
        callers: Number of callers.
        disconnects_allowed: See :class:`Caller`.
    """

    deployment: Deployment
    seed: int
    callers: int = 12
    disconnects_allowed: bool = True
    result: CampaignResult = field(default_factory=CampaignResult)

    def run(
        self, inject_disruptions: Callable[[random.Random, CampaignResult], None]
    ) -> CampaignResult:
        """Run the callers during ``inject_disruptions``, then check all bookings."""
        threads = [
            Caller(
                self.deployment,
                self.result,
                number,
                self.seed,
                self.disconnects_allowed,
            )
            for number in range(self.callers)
        ]
        for thread in threads:
            thread.start()
        try:
            inject_disruptions(random.Random(self.seed), self.result)
        finally:
            for thread in threads:
                thread.stop_requested.set()
            for thread in threads:
                thread.join(RETRY_LIMIT_S + CALL_TIMEOUT_S)
        self._check_bookings()
        return self.result

    def _check_bookings(self) -> None:
        runs = count_runs(self.deployment)
        for booking in self.result.bookings:
            count = runs[booking.key]
            self.result.count(f"runs.{count}")
            if count > 1:
                self.result.record_violation(
                    f"booking {booking.key} was executed {count} times"
                )
            if booking.answer is not None and count != 1:
                self.result.record_violation(
                    f"answered booking {booking.key} was executed {count} times"
                )
            if count and booking.outcomes and set(booking.outcomes) == {"not_run"}:
                self.result.record_violation(
                    f"booking {booking.key} was executed but reported as not_run"
                )


def count_runs(deployment: Deployment) -> Counter[str]:
    """Count executions by idempotency key, including runs before service restarts."""
    runs: Counter[str] = Counter()
    for path in deployment.fleet.folder.glob("*.journal"):
        for line in path.read_text().splitlines():
            runs[json.loads(line)["key"]] += 1
    return runs


class FaultInjector:
    """Injects random faults into the processes of a deployment.

    Args:
        deployment: The deployment.
        duration_s: Time during which faults are injected.
        fault_kinds: Faults to choose from, keys of ``FAULTS``.
        mean_interval_s: Mean pause between two faults.
    """

    def __init__(
        self,
        deployment: Deployment,
        duration_s: float,
        fault_kinds: tuple[str, ...],
        mean_interval_s: float = 2.0,
    ):
        self._deployment = deployment
        self._duration_s = duration_s
        self._fault_kinds = fault_kinds
        self._mean_interval_s = mean_interval_s

    def __call__(self, rng: random.Random, result: CampaignResult) -> None:
        """Inject faults for the duration; all processes are running at the end."""
        deadline = time.monotonic() + self._duration_s
        time.sleep(1.0)
        while time.monotonic() < deadline:
            kind = rng.choice(self._fault_kinds)
            target = FAULTS[kind](self, rng)
            result.count(f"fault.{kind}")
            result.add_note(f"{kind} {target} completed")
            time.sleep(rng.uniform(0.5, 1.5) * self._mean_interval_s)

    def kill_router(self, rng: random.Random) -> str:
        """Kill a router and restart it."""
        return self._kill_and_restart(self._random_router(rng), rng)

    def pause_router(self, rng: random.Random) -> str:
        """Pause a router for up to 6 s, which can exceed the dispatch window."""
        return self._pause_for(self._random_router(rng), rng.uniform(0.5, 6.0))

    def kill_control(self, rng: random.Random) -> str:
        """Kill a control replica and restart it."""
        return self._kill_and_restart(self._random_control(rng), rng)

    def pause_control(self, rng: random.Random) -> str:
        """Pause a control replica."""
        return self._pause_for(self._random_control(rng), rng.uniform(0.5, 5.0))

    def kill_endpoint(self, rng: random.Random) -> str:
        """Kill an engine or a service and restart it without its state."""
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
        """Shut a router down gracefully and restart it."""
        name = self._random_router(rng)
        self.stop_gracefully(name)
        self._deployment.restart(name)
        return name

    def _random_router(self, rng: random.Random) -> str:
        return f"router-{rng.randint(1, self._deployment.routers)}"

    def _random_control(self, rng: random.Random) -> str:
        return f"control-{rng.randint(1, self._deployment.controls)}"

    def stop_gracefully(self, name: str) -> None:
        """Shut a daemon down gracefully and require exit code 0.

        Raises:
            RuntimeError: If the daemon exits with another code because it
                interrupted requests.
        """
        code = self._deployment.members[name].stop(150)
        if code != 0:
            raise RuntimeError(f"{name} exited with {code}")

    def _kill_and_restart(self, name: str, rng: random.Random) -> str:
        self._deployment.members[name].kill()
        time.sleep(rng.uniform(0.1, 1.5))
        self._deployment.restart(name)
        return name

    def _pause_for(self, name: str, duration_s: float) -> str:
        member = self._deployment.members[name]
        member.pause()
        time.sleep(duration_s)
        member.resume()
        return name


FAULTS: dict[str, Callable[[FaultInjector, random.Random], str]] = {
    "kill_router": FaultInjector.kill_router,
    "pause_router": FaultInjector.pause_router,
    "kill_control": FaultInjector.kill_control,
    "pause_control": FaultInjector.pause_control,
    "kill_endpoint": FaultInjector.kill_endpoint,
    "stop_router": FaultInjector.stop_router,
}


def rolling_restart(
    deployment: Deployment,
) -> Callable[[random.Random, CampaignResult], None]:
    """Return a function that gracefully restarts all daemons one by one."""

    def inject_disruptions(rng: random.Random, result: CampaignResult) -> None:
        injector = FaultInjector(deployment, 0, ())
        names = [f"router-{number + 1}" for number in range(deployment.routers)]
        names += [f"control-{number + 1}" for number in range(deployment.controls)]
        for name in names:
            injector.stop_gracefully(name)
            deployment.restart(name)
            result.count("planned_stop")
            time.sleep(1.0)

    return inject_disruptions
