"""Randomized faults from outside on the real daemons as separate processes.

    python -m mustardtrack.testing.faultsoak --seed N --seconds S [--seeds COUNT]

Signals stop, pause, kill and restart daemons, connections to endpoints are delayed,
reset, silenced or cut one way, endpoints refuse requests and lose answers, disks are
lost or end in a torn write, and configurations change, in series that overlap. What
callers and endpoints saw is then compared with the promises.
"""

import argparse
import math
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPException
from pathlib import Path
from typing import Any

from mustardtrack.testing.seededendpoints import EndpointThread, FaultyEndpoint
from mustardtrack.testing.seededhosts import (
    SeededHosts,
    holds_within,
    put_document,
    read_document,
)
from mustardtrack.testing.soakcallers import HOST, KINDS, TIME_LEFT_MS, Caller, Told

# Last numbers of the loopback addresses; the third one is an argument, so that several
# soaks can run at once.
CONTROL_NUMBERS = (11, 12, 13)
ROUTER_NUMBERS = (21, 22, 23)
ENDPOINT_NUMBER = 31
DEFAULT_SUBNET = 3
SERVICES = {"s1": 2, "s2": 2}
CALLERS = 8
START_LIMIT_S = 30.0
# Time after a disturbance of a control host before the next, so that no more than one
# is lost at once: its restart, an election and the copy of the log.
CONTROL_REST_S = 6.0
# Time after its acknowledgement within which a configuration is read back everywhere.
APPLY_S = 2.0
# Time after its acknowledgement after which a removed key must not run.
REVOKE_S = 5.0
# A planned stop is judged only if nothing unplanned happened shortly before it.
CALM_S = 3.0
# Time within which a planned stop must end, the grace of the settings and a margin
# for a busy machine.
STOP_LIMIT_S = 10.0
SETTLE_S = 8.0
REVOKED_KEY, REVOKED_ACCOUNT = "k9", "t9"


@dataclass
class Findings:
    """What one soak did and saw."""

    faults: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    planned: list[tuple[str, float, float]] = field(default_factory=list)
    unplanned_s: list[float] = field(default_factory=list)
    acknowledged: list[tuple[int, float]] = field(default_factory=list)
    revoked_s: float | None = None


def make_document(version: int, has_revoked_key: bool) -> dict[str, Any]:
    """Return the configuration of one version."""
    kinds = {"booking": "non_idempotent", "lookup": "idempotent", "stream": "streaming"}
    routes = [
        {
            "name": f"r-{kind}",
            "host": HOST,
            "path-prefix": prefix,
            "kind": kinds[kind],
            "timeout-ms": TIME_LEFT_MS,
            "service": "s2" if kind == "stream" else "s1",
            "max-attempts": 2,
            "resumable": kind == "stream",
        }
        for kind, prefix in KINDS.items()
    ]
    tenants = [{"name": "t1", "api-keys": ["k1"]}]
    if has_revoked_key:
        tenants.append({"name": REVOKED_ACCOUNT, "api-keys": [REVOKED_KEY]})
    services = [{"name": name, "max-connections": 200} for name in SERVICES]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
    }


class FaultSoak:
    """One seeded run.

    Args:
        seed: Seed of faults, endpoints and callers.
        seconds: Time during which faults begin.
        folder: Folder of settings, logs and data.
        subnet: Third number of the loopback addresses.
    """

    def __init__(
        self, seed: int, seconds: float, folder: Path, subnet: int = DEFAULT_SUBNET
    ):
        self._seed = seed
        self._seconds = seconds
        self._rng = random.Random(seed)
        prefix = f"127.0.{subnet}."
        self._controls = tuple(f"{prefix}{number}" for number in CONTROL_NUMBERS)
        self._routers = tuple(f"{prefix}{number}" for number in ROUTER_NUMBERS)
        endpoint_host = f"{prefix}{ENDPOINT_NUMBER}"
        self.endpoints = EndpointThread(endpoint_host, SERVICES, seed)
        self._folder = folder
        self.findings = Findings()
        self._version = 1
        self._later: list[tuple[float, Callable[[], None]]] = []
        self._control_free_s = 0.0
        self._busy: set[str] = set()

    def run(self) -> Findings:
        """Run the soak and return its findings."""
        self.endpoints.start()
        self._hosts = SeededHosts(
            self._folder, self._controls, self._routers, self.endpoints.list_address
        )
        callers: list[Caller] = []
        try:
            for host in (*self._controls, *self._routers):
                self._hosts.start(host)
            self._wait(lambda: self._put(True))
            self._wait(lambda: all(self._hosts.is_ready(one) for one in self._routers))
            keys = ["k1"] * (CALLERS - 1) + [REVOKED_KEY]
            callers = [
                Caller(number, self._controls, key, self._seed)
                for number, key in enumerate(keys)
            ]
            for caller in callers:
                caller.start()
            self._play()
            self._settle()
        finally:
            for caller in callers:
                caller.stopping.set()
            for caller in callers:
                caller.join(timeout=10)
            self._hosts.end()
            self.endpoints.stop()
        self._judge([one for caller in callers for one in caller.told])
        return self.findings

    def _wait(self, condition: Callable[[], bool]) -> None:
        if not holds_within(condition, START_LIMIT_S, (OSError, HTTPException)):
            self.findings.violations.append("the deployment does not serve after 30 s")

    # Faults

    def _play(self) -> None:
        actions = (
            self._stop_router,
            self._kill_router,
            self._pause_router,
            self._stop_control,
            self._kill_control,
            self._pause_control,
            self._lose_disk,
            self._tear_log,
            self._disturb_endpoint,
            self._disturb_endpoint,
            self._change_document,
            self._revoke_key,
        )
        end_s = time.monotonic() + self._seconds
        while time.monotonic() < end_s:
            self._rng.choice(actions)()
            pause_end_s = time.monotonic() + self._rng.uniform(0.1, 1.2)
            while time.monotonic() < pause_end_s:
                self._run_due(time.monotonic())
                time.sleep(0.02)

    def _run_due(self, now_s: float) -> None:
        due = [item for item in self._later if item[0] <= now_s]
        self._later = [item for item in self._later if item[0] > now_s]
        for _, action in sorted(due, key=lambda item: item[0]):
            action()

    def _after(
        self, shortest_s: float, longest_s: float, action: Callable[[], None]
    ) -> None:
        at_s = time.monotonic() + self._rng.uniform(shortest_s, longest_s)
        self._later.append((at_s, action))

    def _count(self, name: str, is_planned: bool = False) -> None:
        self.findings.faults[name] += 1
        if not is_planned:
            self.findings.unplanned_s.append(time.monotonic())

    def _free(self, hosts: tuple[str, ...]) -> str | None:
        free = [host for host in hosts if host not in self._busy]
        # One router always serves, so that callers have somewhere to go.
        if hosts == self._routers and len(free) < 2:
            return None
        if hosts == self._controls and time.monotonic() < self._control_free_s:
            return None
        return self._rng.choice(free) if free else None

    def _claim(self, hosts: tuple[str, ...]) -> str | None:
        host = self._free(hosts)
        if host is not None:
            self._busy.add(host)
            if hosts == self._controls:
                # Until its release, which sets the time anew.
                self._control_free_s = math.inf
        return host

    def _release(self, host: str) -> None:
        self._busy.discard(host)
        if host in self._controls:
            self._control_free_s = time.monotonic() + CONTROL_REST_S

    def _restart(self, host: str) -> None:
        self._hosts.start(host, bootstrap=False)
        self._release(host)

    def _stop_planned(self, host: str) -> None:
        started_s = time.monotonic()
        self._hosts.send(host, signal.SIGTERM)
        self._after(0.1, 0.1, lambda: self._await_exit(host, started_s))

    def _await_exit(self, host: str, started_s: float) -> None:
        now_s = time.monotonic()
        code = self._hosts.running[host].poll()
        if code is None and now_s - started_s < STOP_LIMIT_S:
            self._after(0.05, 0.05, lambda: self._await_exit(host, started_s))
            return
        if code is None:
            self.findings.violations.append(f"{host} did not stop in {STOP_LIMIT_S} s")
            self._hosts.send(host, signal.SIGKILL)
        elif code != 0 and not self._ended_at_start(host, code):
            self.findings.violations.append(f"{host} ended with {code} when stopped")
        self._hosts.running.pop(host).wait()
        self.findings.planned.append((host, started_s, now_s))
        self._after(0.1, 0.8, lambda: self._restart(host))

    def _ended_at_start(self, host: str, code: int) -> bool:
        """Return whether a daemon was stopped before it opened its ports.

        Until then the signal ends the interpreter, and no request can be lost.
        """
        return code == -signal.SIGTERM and not self._hosts.has_started(host)

    def _stop_router(self) -> None:
        host = self._claim(self._routers)
        if host is not None:
            self._count("router stopped", is_planned=True)
            self._stop_planned(host)

    def _stop_control(self) -> None:
        host = self._claim(self._controls)
        if host is not None:
            self._count("control stopped", is_planned=True)
            self._stop_planned(host)

    def _kill(self, hosts: tuple[str, ...], name: str) -> str | None:
        host = self._claim(hosts)
        if host is not None:
            self._count(name)
            self._hosts.stop(host, signal.SIGKILL)
            self._after(0.1, 1.5, lambda: self._restart(host))
        return host

    def _kill_router(self) -> None:
        self._kill(self._routers, "router killed")

    def _kill_control(self) -> None:
        self._kill(self._controls, "control killed")

    def _lose_disk(self) -> None:
        host = self._kill(self._controls, "disk lost")
        if host is not None:
            shutil.rmtree(self._hosts.data_folder(host), ignore_errors=True)

    def _tear_log(self) -> None:
        """Leave a part of a write that was never synced at the end of the log."""
        host = self._kill(self._controls, "write torn")
        if host is not None:
            log = self._hosts.data_folder(host) / "replica" / "log"
            if log.exists():
                with log.open("ab") as file:
                    file.write(self._rng.randbytes(self._rng.randint(1, 40)))

    def _pause(self, hosts: tuple[str, ...], name: str) -> None:
        host = self._claim(hosts)
        if host is None:
            return
        self._count(name)
        self._hosts.send(host, signal.SIGSTOP)

        def resume() -> None:
            self._hosts.send(host, signal.SIGCONT)
            self.findings.unplanned_s.append(time.monotonic())
            self._release(host)

        self._after(0.3, 4.0, resume)

    def _pause_router(self) -> None:
        self._pause(self._routers, "router paused")

    def _pause_control(self) -> None:
        self._pause(self._controls, "control paused")

    def _disturb_endpoint(self) -> None:
        endpoint = self._rng.choice(self.endpoints.endpoints)
        field_name, value, normal = self._rng.choice(
            (
                ("delay_s", 0.05, 0.0),
                ("cut", "request", ""),
                ("cut", "answer", ""),
                ("refuse_share", 0.5, 0.0),
                ("lose_share", 0.3, 0.0),
                ("", "reset", ""),
                ("", "silence", ""),
            )
        )
        self._count(f"endpoint {field_name or 'connections'} {value}")
        if not field_name:
            actions = {
                "reset": endpoint.reset_connections,
                "silence": endpoint.silence_connections,
            }
            self.endpoints.call(actions[str(value)])
            return
        self._set(endpoint, field_name, value)
        self._after(0.5, 3.0, lambda: self._set(endpoint, field_name, normal))

    def _set(self, endpoint: FaultyEndpoint, name: str, value: object) -> None:
        self.findings.unplanned_s.append(time.monotonic())
        self.endpoints.call(lambda: setattr(endpoint, name, value))

    # Configuration

    def _put(self, has_revoked_key: bool) -> bool:
        version = self._version
        for host in self._rng.sample(self._controls, len(self._controls)):
            try:
                status = put_document(host, make_document(version, has_revoked_key))
            except (OSError, HTTPException):
                continue  # The host is stopped; operators go on to the next.
            if status == 200:
                self.findings.acknowledged.append((version, time.monotonic()))
                self._version += 1
                return True
        # Without a clear answer it may be in force; the next change uses a new number.
        self._version += 1
        return False

    def _change_document(self) -> None:
        self.findings.faults["configuration changed"] += 1
        self._put(self.findings.revoked_s is None)
        self._after(APPLY_S, APPLY_S + 0.5, self._read_back)

    def _revoke_key(self) -> None:
        if self.findings.revoked_s is None and self._put(False):
            self.findings.faults["key revoked"] += 1
            self.findings.revoked_s = time.monotonic()

    def _read_back(self) -> None:
        asked_s = time.monotonic()
        host = self._rng.choice(self._controls)
        try:
            found = read_document(host)
        except (OSError, HTTPException):
            return  # No answer promises nothing.
        acknowledged = [
            version
            for version, at_s in self.findings.acknowledged
            if at_s + APPLY_S < asked_s
        ]
        if found is not None and found["version"] < max(acknowledged, default=0):
            self.findings.violations.append(
                f"{host} read back version {found['version']} after "
                f"{max(acknowledged)} was acknowledged"
            )

    def _settle(self) -> None:
        """End all faults and check that the deployment serves and kept its state."""
        while self._later:
            self._run_due(time.monotonic())
            time.sleep(0.05)
        time.sleep(SETTLE_S)
        newest = max((one for one, _ in self.findings.acknowledged), default=0)

        def keeps_newest() -> bool:
            found = read_document(self._rng.choice(self._controls))
            return found is not None and bool(found["version"] >= newest)

        self._wait(keeps_newest)
        self._wait(lambda: all(self._hosts.is_ready(one) for one in self._routers))

    # Promises

    def _judge(self, told: list[Told]) -> None:
        for check in (
            self._check_runs,
            self._check_answers,
            self._check_refusals,
            self._check_stops,
            self._check_keys,
            self._check_revocation,
        ):
            self.findings.violations += check(told)
        for one in told:
            outcome = one.status if one.is_whole else "cut"
            self.findings.faults[f"told {one.kind} {outcome}"] += 1

    def _check_runs(self, told: list[Told]) -> list[str]:
        runs = self.endpoints.log.runs
        return [
            f"{one.request_id} ran {runs[one.request_id]} times"
            for one in told
            if one.kind == "booking" and runs[one.request_id] > 1
        ]

    def _check_answers(self, told: list[Told]) -> list[str]:
        return [
            f"{one.request_id} ({one.kind}) got a wrong answer: {one.note}"
            for one in told
            if one.status == 200 and one.is_whole and not one.is_own
        ]

    def _check_refusals(self, told: list[Told]) -> list[str]:
        runs = self.endpoints.log.runs
        return [
            f"{one.request_id} ({one.kind}) was refused and ran"
            for one in told
            if one.status == 503 and runs[one.request_id]
        ]

    def _check_stops(self, told: list[Told]) -> list[str]:
        found = []
        for host, began_s, ended_s in self.findings.planned:
            is_calm = not any(
                began_s - CALM_S < at_s < ended_s for at_s in self.findings.unplanned_s
            )
            found += [
                f"{one.request_id} ({one.kind}) was cut by the planned stop of {host}"
                for one in told
                if is_calm
                and one.router == host
                and began_s <= one.ended_s <= ended_s + 1
                and not one.is_whole
                and self.endpoints.log.runs[one.request_id]
            ]
        return found

    def _check_keys(self, told: list[Told]) -> list[str]:
        return [
            f"{one.request_id} ({one.kind}) got {one.status} although its key and "
            "route were in every configuration"
            for one in told
            if one.status in (401, 404) and not _uses_revoked_key(one)
        ]

    def _check_revocation(self, told: list[Told]) -> list[str]:
        revoked_s = self.findings.revoked_s
        if revoked_s is None:
            return []
        runs = self.endpoints.log.runs
        return [
            f"{one.request_id} ran under a key revoked "
            f"{one.sent_s - revoked_s:.1f} s before"
            for one in told
            if _uses_revoked_key(one)
            and one.sent_s > revoked_s + REVOKE_S
            and runs[one.request_id]
        ]


def _uses_revoked_key(one: Told) -> bool:
    """Return whether the last caller sent a request; its key is removed once."""
    return one.request_id.startswith(f"c{CALLERS - 1}-")


def play_seed(
    seed: int,
    seconds: float,
    keep: Path | None = None,
    subnet: int = DEFAULT_SUBNET,
) -> Findings:
    """Run one seed in a folder of its own; keep its logs only after a violation.

    Args:
        seed: Seed of the run.
        seconds: Time during which faults begin.
        keep: Folder to copy the logs to if a promise was broken.
        subnet: Third number of the loopback addresses.
    """
    with tempfile.TemporaryDirectory(prefix="mustardtrack-soak-") as folder:
        findings = FaultSoak(seed, seconds, Path(folder), subnet).run()
        if findings.violations and keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    return findings


def main() -> int:
    """Run the seeds of the command line; exit 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="of each seed")
    parser.add_argument("--keep", type=Path, help="folder for logs of failed seeds")
    parser.add_argument("--subnet", type=int, default=DEFAULT_SUBNET)
    arguments = parser.parse_args()
    is_broken = False
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        try:
            findings = play_seed(
                seed, arguments.seconds, arguments.keep, arguments.subnet
            )
        except subprocess.TimeoutExpired as error:
            print(f"seed {seed}: {error}")
            is_broken = True
            continue
        counts = " ".join(f"{k}={v}" for k, v in sorted(findings.faults.items()))
        print(f"seed {seed}: {len(findings.violations)} violations; {counts}")
        for violation in findings.violations:
            print(f"  {violation}")
        is_broken = is_broken or bool(findings.violations)
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
