"""Callers that send prompts to the stand-in engines through real routers."""

import threading
import time
from collections.abc import Sequence
from http.client import HTTPException
from itertools import count
from typing import Any

from mustardtrack.testing.client import call
from mustardtrack.testing.prompt_engines import MODEL, SERVICE
from mustardtrack.testing.seeded_hosts import (
    CALLER_PORT,
    SeededHosts,
    holds_within,
    put_document,
)

LONGEST_WAIT_S = 20.0


# Targets below this prefix have streams that may not be resumed.
UNRESUMABLE_PREFIX = "/x/whole/"


def build_document() -> dict[str, Any]:
    """Return a configuration with two routes to the engines."""
    route = {
        "name": "r1",
        "host": "a.example",
        "path-prefix": "/x/",
        "kind": "streaming",
        "timeout-ms": 6000,
        "target-latency-ms": 1000,
        "service": SERVICE,
        "max-attempts": 2,
        "sticky": True,
        "resumable": True,
    }
    whole = {"name": "r2", "path-prefix": UNRESUMABLE_PREFIX, "resumable": False}
    limits = {"slots": 64, "kv-capacity-tokens": 100_000, "kv-token-bytes": 1000}
    engine = {**limits, "link-mbps": 10_000.0, "models": [{"name": MODEL}]}
    service = {"name": SERVICE, "max-connections": 300, "engine": engine}
    return {
        "version": 1,
        "routes": [route, {**route, **whole}],
        "services": [service],
        "tenants": [{"name": "t1", "api-keys": ["k1"]}],
    }


def send_prompt(
    router: str,
    number: int,
    parts: Sequence[str],
    key: str = "k1",
    target: str | None = None,
) -> tuple[int, Any]:
    """Send a prompt and return the status and body, status 0 if it was cut.

    Args:
        router: Address of the router.
        number: Distinguishes the prompt from others.
        parts: Parts that it shares with other prompts.
        key: Key of the client account.
        target: Request target, one of its own if it is None.
    """
    target = target or f"/x/{number}"
    headers = {
        "Host": "a.example",
        "Request-Id": f"id{number}",
        "Deadline-Ms": "4000",
        "Authorization": f"Bearer {key}",
        "Model": MODEL,
        "Token-Usage": "300,20",
        "Prefix-Hash": ",".join(f"{part}:100" for part in (*parts, f"own{number}")),
    }
    address = f"{router}:{CALLER_PORT}"
    try:
        return call(address, "POST", target, b"p", headers, timeout_s=5.0)[:2]
    except (OSError, HTTPException):
        return 0, b""


class Callers:
    """Callers that send prompts at a constant rate and record the statuses.

    Attributes:
        results: Start in monotonic seconds, shared parts and status of each prompt.
    """

    def __init__(self, routers: Sequence[str]):
        self._routers = routers
        self._numbers = count(1)
        self._threads: list[threading.Thread] = []
        self.results: list[tuple[float, tuple[str, ...], int]] = []

    def send(self, parts: Sequence[str], for_s: float, period_s: float) -> None:
        """Send prompts for some time, each from a thread of its own."""
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            number = next(self._numbers)
            thread = threading.Thread(target=self._send_one, args=(number, parts))
            thread.start()
            self._threads.append(thread)
            time.sleep(period_s)

    def _send_one(self, number: int, parts: Sequence[str]) -> None:
        started_s = time.monotonic()
        shared = [part.format(number=number % 20) for part in parts]
        router = self._routers[number % len(self._routers)]
        status, _ = send_prompt(router, number, shared)
        self.results.append((started_s, tuple(shared), status))

    def join(self) -> None:
        """Wait for all answers."""
        for thread in self._threads:
            thread.join()


def wait_until_serving(hosts: SeededHosts, first_part: str) -> None:
    """Wait until the configuration is in force and a prompt is answered."""
    control, content = hosts.controls[0], build_document()
    parts = [first_part, "warm"]
    for condition in (
        lambda: put_document(control, content) == 200,
        lambda: all(hosts.is_ready(router) for router in hosts.routers),
        lambda: send_prompt(hosts.routers[0], 0, parts)[0] == 200,
    ):
        assert holds_within(condition, LONGEST_WAIT_S)
