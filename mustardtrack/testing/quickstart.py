"""Runs an example deployment on loopback and verifies a stream and a booking."""

import argparse
import sys
import tempfile
import time
from typing import Any

from mustardtrack.testing.fleet import Fleet
from mustardtrack.testing.local_deployment import (
    OPERATOR_TOKEN,
    Deployment,
    new_idempotency_key,
)
from mustardtrack.testing.text import expected_text

STREAM_TOKENS = 24
QUERIES = ("show hosts", "show endpoints", "show accounts", "show reasons")


def main() -> int:
    """Run the quickstart; return 0 only if both checks and the shutdown succeed."""
    parser = argparse.ArgumentParser(description="Run an example deployment.")
    parser.add_argument(
        "--deployment", choices=("stenaprav", "zwolle"), default="stenaprav"
    )
    parser.add_argument(
        "--keep",
        action="store_true",
        help="keep the deployment running until interrupted",
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
        deployment = Deployment(fleet, options.deployment)
        print(f"starting {options.deployment}: control, routers, stand-in endpoints")
        started = time.monotonic()
        deployment.start()
        print(f"ready after {time.monotonic() - started:.1f} s")
        passed = _check_stream(deployment) and _check_booking(deployment)
        _print_status(deployment)
        if options.keep:
            _wait_for_interrupt(deployment)
        return _stop_daemons(deployment, passed)


def _check_stream(deployment: Deployment) -> bool:
    """Send a streaming completion request and verify the streamed text."""
    prompt = "Site: harbour office. Drawings: " + "partition wall; " * 600
    events = deployment.stream(prompt + "Quote the fit-out.", STREAM_TOKENS)
    texts = [event["choices"][0]["text"] for event in events if "piece" in event]
    expected = expected_text(
        deployment.model, prompt + "Quote the fit-out.", STREAM_TOKENS
    )
    passed = "".join(texts) == expected and events[-1] == {"done": True}
    print(f"stream: {len(texts)} chunks, complete: {passed}")
    return passed


def _check_booking(deployment: Deployment) -> bool:
    """Send a booking twice with the same idempotency key and verify it ran once."""
    key = new_idempotency_key()
    body = {"customer": "example", "panels": 12}
    first = deployment.book(body, key)
    second = deployment.book(body, key, router=2)
    runs = sum(
        member.get("/runs")["runs"].get(key, 0)
        for name, member in deployment.members.items()
        if name.startswith(deployment.service)
    )
    passed = first[0] < 300 and second[:2] == first[:2] and runs == 1
    print(
        f"booking: status {first[0]}, status of retry {second[0]}, runs {runs}, "
        f"passed: {passed}"
    )
    return passed


def _print_status(deployment: Deployment) -> None:
    for text in QUERIES:
        print(f"\n> mustardtrack query '{text}'")
        print(
            deployment.run_tool(
                "query", text, "--operators", deployment.operators("router-1")
            )
        )


def _wait_for_interrupt(deployment: Deployment) -> None:
    operators = deployment.operators("router-1")
    print(f"callers: http://{deployment.callers()} key {_caller_key(deployment)}")
    print(f"operators: {operators} token {OPERATOR_TOKEN}")
    print("running until interrupted with Ctrl-C")
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print("stopping")


def _caller_key(deployment: Deployment) -> str:
    return deployment.headers()["Authorization"].removeprefix("Bearer ")


def _stop_daemons(deployment: Deployment, passed: bool) -> int:
    """Shut down routers, then control; exit status 0 means no interrupted request."""
    members = deployment.members
    daemons = [name for name in members if name.startswith(("router", "control"))]
    routers = [members[name] for name in daemons if name.startswith("router")]
    controls = [members[name] for name in daemons if name.startswith("control")]
    exit_codes: list[Any] = []
    for group in (routers, controls):
        for member in group:
            member.terminate()
        exit_codes += [member.wait(20) for member in group]
    print(f"stopped with exit codes {exit_codes}")
    return 0 if passed and not any(exit_codes) else 1


if __name__ == "__main__":
    sys.exit(main())
