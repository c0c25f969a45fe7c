"""Router side of the quarantine of requests that crash endpoints."""

from dataclasses import dataclass, field
from hashlib import blake2b

from mustardtrack.admission.outcomes import ADMITTED, Admitted, Refused
from mustardtrack.logs.events import define_event, log_event, require_invariant
from mustardtrack.ports.metrics import Metrics
from mustardtrack.routing.prefixes import Salt

QUARANTINE_RETRY_MS = 3_600_000
SUSPECT_RETRY_MS = 500
SUSPECT_DELAY_MS = 1000
SUSPECT_EXPIRY_MS = 600_000

SUSPECT_ON_TWO_ENDPOINTS = define_event(
    6000, "ERROR", "suspect request would run on two endpoints"
)
ENDPOINT_DIED = define_event(6001, "WARNING", "endpoint died while running requests")


def fingerprint(salt: Salt, body: bytes) -> str:
    """Return the digest that identifies a request body under a salt.

    Examples:
        >>> salt = Salt("hotel", "model-a", "3")
        >>> fingerprint(salt, b"{}") == fingerprint(salt, b"{}")
        True
    """
    encoded = salt.encode()
    digest = blake2b(digest_size=16)
    digest.update(len(encoded).to_bytes(4, "big") + encoded + body)
    return digest.hexdigest()


@dataclass(frozen=True)
class _Attempt:
    fingerprint: str
    endpoint: str
    incarnation: str


@dataclass
class Suspects:
    """Requests of this router that were running on an endpoint when it died.

    Crashes are counted for the whole deployment, and the result arrives as a set
    of quarantined fingerprints. Until then suspects are isolated: this router runs
    one suspect at a time, and the selector sends each suspect to the endpoint that
    all routers derive from its chain of prefix digests.

    Examples:
        >>> suspects = Suspects()
        >>> suspects.started("r1.1", "f1", "engine-1", "a", now_ms=0)
        >>> suspects.endpoint_died("engine-1", "a", now_ms=10)
        ['f1']
        >>> suspects.is_suspect("f1")
        True
    """

    metrics: Metrics | None = None
    _running: dict[str, _Attempt] = field(default_factory=dict)
    _suspects: dict[str, int] = field(default_factory=dict)

    def check(
        self, fingerprint: str, quarantined: frozenset[str], now_ms: int
    ) -> Admitted | Refused:
        """Decide whether a request may be dispatched now.

        Returns:
            ``Refused`` with reason ``quarantined`` (final) or ``suspect_waiting``
            (another suspect or another copy is running, or the request became a
            suspect within ``SUSPECT_DELAY_MS``, when this router may not yet have
            received its crash count); nothing was dispatched.
        """
        self._expire(now_ms)
        if fingerprint in quarantined:
            return self._refuse("quarantined", QUARANTINE_RETRY_MS)
        since_ms = self._suspects.get(fingerprint)
        if since_ms is None:
            return ADMITTED
        if now_ms - since_ms < SUSPECT_DELAY_MS or self._running_suspects():
            return self._refuse("suspect_waiting", SUSPECT_RETRY_MS)
        return ADMITTED

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request must run in isolation."""
        return fingerprint in self._suspects

    def add(self, fingerprints: list[str], now_ms: int) -> None:
        """Mark requests as suspects, such as those reported by a peer."""
        for suspect in fingerprints:
            self._suspects.pop(suspect, None)
            self._suspects[suspect] = now_ms

    def started(
        self,
        attempt: str,
        fingerprint: str,
        endpoint: str,
        incarnation: str,
        now_ms: int,
    ) -> None:
        """Record a dispatch.

        Raises:
            InvariantViolationError: If a suspect is running at another endpoint.
        """
        if fingerprint in self._suspects:
            others = self._running_suspects()
            require_invariant(
                not others, SUSPECT_ON_TWO_ENDPOINTS, attempt=attempt, running=others
            )
        self._running[attempt] = _Attempt(fingerprint, endpoint, incarnation)

    def completed(self, attempt: str) -> None:
        """Record a complete response; its request is no longer a suspect."""
        done = self._running.pop(attempt, None)
        if done is not None:
            self._suspects.pop(done.fingerprint, None)

    def stopped(self, attempt: str, now_ms: int) -> None:
        """Record a cancellation, or a failure without an observed crash."""
        stopped = self._running.pop(attempt, None)
        if stopped is not None and stopped.fingerprint in self._suspects:
            # A copy of the request may have crashed the endpoint: restart the delay.
            self.add([stopped.fingerprint], now_ms)

    def endpoint_died(self, endpoint: str, incarnation: str, now_ms: int) -> list[str]:
        """Mark all requests that ran on a dead endpoint as suspects.

        Returns:
            Fingerprints to report with ``ReportCrash``, each once.
        """
        interrupted = {
            attempt: run
            for attempt, run in self._running.items()
            if (run.endpoint, run.incarnation) == (endpoint, incarnation)
        }
        for attempt in interrupted:
            del self._running[attempt]
        fingerprints = sorted({run.fingerprint for run in interrupted.values()})
        if fingerprints:
            self.add(fingerprints, now_ms)
            log_event(ENDPOINT_DIED, endpoint=endpoint, requests=len(interrupted))
        return fingerprints

    def _running_suspects(self) -> list[str]:
        return [
            attempt
            for attempt, run in self._running.items()
            if run.fingerprint in self._suspects
        ]

    def _expire(self, now_ms: int) -> None:
        while self._suspects:
            oldest, since_ms = next(iter(self._suspects.items()))
            if now_ms - since_ms <= SUSPECT_EXPIRY_MS:
                return
            del self._suspects[oldest]

    def _refuse(self, reason: str, retry_after_ms: int) -> Refused:
        if self.metrics is not None:
            self.metrics.count(f"refusal.{reason}")
        return Refused(reason, retry_after_ms)
