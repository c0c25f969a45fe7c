"""Randomized fault injection into real daemons that run as separate processes.

    python -m mustardtrack.testing.faultsoak --seed N --seconds S [--seeds COUNT]

Overlapping faults stop, pause, kill and restart daemons by signals; delay, reset, stall
or cut in one direction the connections to endpoints; make endpoints refuse requests and
lose responses; wipe disks or leave a torn write on them; and change the configuration.
Afterwards the records of callers and endpoints are checked against the guarantees of
the system.
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

from mustardtrack.testing.faulty_endpoints import EndpointThread, FaultyEndpoint
from mustardtrack.testing.seeded_hosts import (
    CALLER_PORT,
    SeededHosts,
    holds_within,
    put_document,
    read_document,
)
from mustardtrack.testing.soak_callers import (
    DEADLINE_MS,
    PATH_PREFIXES,
    ROUTE_HOST,
    SLOW_DEADLINE_MS,
    Caller,
    RequestRecord,
    SlowCaller,
)
from mustardtrack.testing.subnets import Subnet

# Last octets of the loopback addresses.
CONTROL_LAST_OCTETS = (11, 12, 13)
ROUTER_LAST_OCTETS = (21, 22, 23)
ENDPOINT_LAST_OCTET = 31
# Number of endpoints of each service.
SERVICES = {"s1": 2, "s2": 2}
CALLERS = 8
START_LIMIT_S = 30.0
# Pause between faults on control hosts, so that at most one is unavailable at a time:
# it covers the restart, an election and the log replication.
CONTROL_RECOVERY_S = 6.0
# Time after the acknowledgement of a configuration by which every control host must
# return it.
APPLY_LIMIT_S = 2.0
# Time after the acknowledgement of a key's removal from which requests with it must not
# be executed.
REVOCATION_LIMIT_S = 5.0
# A graceful shutdown is checked only if no other fault was injected during it or during
# this time before it.
FAULT_FREE_S = 3.0
# Limit of a graceful shutdown: the grace period of the settings plus a margin for a
# busy machine.
STOP_LIMIT_S = 10.0
# Time between the end of all faults and the final checks.
RECOVERY_S = 8.0
REVOKED_KEY, REVOKED_ACCOUNT = "k9", "t9"


@dataclass
class SoakResult:
    """Injected faults, invariant violations and event times of one soak.

    Attributes:
        faults: Number of injected faults and of request results, by description.
        violations: Descriptions of the guarantees that were violated.
        planned_stops: Host, start and end of each graceful shutdown.
        fault_times_s: Times of all faults other than graceful shutdowns.
        acknowledged_versions: Configuration versions and acknowledgement times.
        key_revoked_s: Time at which the removal of the revoked key was acknowledged.
    """

    faults: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    planned_stops: list[tuple[str, float, float]] = field(default_factory=list)
    fault_times_s: list[float] = field(default_factory=list)
    acknowledged_versions: list[tuple[int, float]] = field(default_factory=list)
    key_revoked_s: float | None = None


def build_document(version: int, has_revoked_key: bool) -> dict[str, Any]:
    """Return the configuration document of a version."""
    kinds = {
        "booking": "non_idempotent",
        "lookup": "idempotent",
        "stream": "streaming",
        "slow": "streaming",
    }
    routes = [
        {
            "name": f"r-{kind}",
            "host": ROUTE_HOST,
            "path-prefix": prefix,
            "kind": kinds[kind],
            "timeout-ms": SLOW_DEADLINE_MS if kind == "slow" else DEADLINE_MS,
            "service": "s2" if kinds[kind] == "streaming" else "s1",
            "max-attempts": 2,
            "resumable": kinds[kind] == "streaming",
        }
        for kind, prefix in PATH_PREFIXES.items()
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
    """One soak run with a seeded sequence of faults.

    Args:
        seed: Seed of faults, endpoints and callers.
        seconds: Time during which faults are injected.
        folder: Folder for settings, logs and data.
        subnet: Loopback addresses of the daemons and endpoints.
    """

    def __init__(self, seed: int, seconds: float, folder: Path, subnet: Subnet):
        self._seed = seed
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._controls = tuple(map(subnet.address, CONTROL_LAST_OCTETS))
        self._routers = tuple(map(subnet.address, ROUTER_LAST_OCTETS))
        endpoint_host = subnet.address(ENDPOINT_LAST_OCTET)
        self.endpoints = EndpointThread(endpoint_host, SERVICES, seed)
        self._folder = folder
        self.result = SoakResult()
        self._version = 1
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        self._next_control_fault_s = 0.0
        self._faulted_hosts: set[str] = set()

    def run(self) -> SoakResult:
        """Run the soak, check the recorded requests and return the result."""
        self.endpoints.start()
        self._hosts = SeededHosts(
            self._folder,
            self._controls,
            self._routers,
            self.endpoints.host_list_address,
        )
        callers: list[Caller] = []
        try:
            for host in (*self._controls, *self._routers):
                self._hosts.start(host)
            self._wait_until(lambda: self._put_configuration(True))
            self._wait_until(
                lambda: all(self._hosts.is_ready(router) for router in self._routers)
            )
            keys = ["k1"] * (CALLERS - 1) + [REVOKED_KEY]
            callers = [
                Caller(number, self._controls, key, self._seed)
                for number, key in enumerate(keys)
            ]
            callers += [
                SlowCaller(number, f"{router}:{CALLER_PORT}", "k1", self._seed)
                for number, router in enumerate(self._routers * 2, len(keys))
            ]
            for caller in callers:
                caller.start()
            self._inject_faults()
            self._recover_and_check()
            self._stop_without_faults()
        finally:
            for caller in callers:
                caller.stop_requested.set()
            for caller in callers:
                caller.join(timeout=10)
            self._hosts.end()
            self.endpoints.stop()
        self._check_records([record for caller in callers for record in caller.records])
        return self.result

    def _wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition; record a violation if it stays false."""
        if not holds_within(condition, START_LIMIT_S, (OSError, HTTPException)):
            self.result.violations.append(
                "deployment not ready or configuration not current after 30 s"
            )

    # Fault injection

    def _inject_faults(self) -> None:
        actions = (
            self._stop_router,
            self._kill_router,
            self._pause_router,
            self._stop_control,
            self._kill_control,
            self._pause_control,
            self._lose_disk,
            self._leave_torn_write,
            self._disrupt_endpoint,
            self._disrupt_endpoint,
            self._change_configuration,
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
        due = [item for item in self._scheduled if item[0] <= now_s]
        self._scheduled = [item for item in self._scheduled if item[0] > now_s]
        for _, action in sorted(due, key=lambda item: item[0]):
            action()

    def _schedule(
        self, shortest_s: float, longest_s: float, action: Callable[[], None]
    ) -> None:
        at_s = time.monotonic() + self._rng.uniform(shortest_s, longest_s)
        self._scheduled.append((at_s, action))

    def _record_fault(self, name: str, is_planned: bool = False) -> None:
        self.result.faults[name] += 1
        if not is_planned:
            self.result.fault_times_s.append(time.monotonic())

    def _choose_available(self, hosts: tuple[str, ...]) -> str | None:
        free = [host for host in hosts if host not in self._faulted_hosts]
        # At least one router keeps running, so that callers can always send requests.
        if hosts == self._routers and len(free) < 2:
            return None
        if hosts == self._controls and time.monotonic() < self._next_control_fault_s:
            return None
        return self._rng.choice(free) if free else None

    def _reserve(self, hosts: tuple[str, ...]) -> str | None:
        host = self._choose_available(hosts)
        if host is not None:
            self._faulted_hosts.add(host)
            if hosts == self._controls:
                # No other control host is disrupted before _release resets the time.
                self._next_control_fault_s = math.inf
        return host

    def _release(self, host: str) -> None:
        self._faulted_hosts.discard(host)
        if host in self._controls:
            self._next_control_fault_s = time.monotonic() + CONTROL_RECOVERY_S

    def _restart(self, host: str) -> None:
        self._hosts.start(host, bootstrap=False)
        self._release(host)

    def _stop_gracefully(self, host: str) -> None:
        started_s = time.monotonic()
        self._hosts.send_signal(host, signal.SIGTERM)
        self._schedule(0.1, 0.1, lambda: self._await_exit(host, started_s))

    def _await_exit(self, host: str, started_s: float) -> None:
        now_s = time.monotonic()
        code = self._hosts.running[host].poll()
        if code is None and now_s - started_s < STOP_LIMIT_S:
            self._schedule(0.05, 0.05, lambda: self._await_exit(host, started_s))
            return
        if code is None:
            self.result.violations.append(f"{host} did not exit in {STOP_LIMIT_S} s")
            self._hosts.send_signal(host, signal.SIGKILL)
        elif code != 0 and not self._terminated_before_start(host, code):
            self.result.violations.append(f"{host} exited with {code} after SIGTERM")
        self._hosts.running.pop(host).wait()
        self.result.planned_stops.append((host, started_s, now_s))
        self._schedule(0.1, 0.8, lambda: self._restart(host))

    def _terminated_before_start(self, host: str, code: int) -> bool:
        """Return whether SIGTERM arrived before the daemon opened its ports.

        Until then the signal terminates the interpreter, and no request can be lost.
        """
        return code == -signal.SIGTERM and not self._hosts.has_started(host)

    def _stop_router(self) -> None:
        host = self._reserve(self._routers)
        if host is not None:
            self._record_fault("router stopped", is_planned=True)
            self._stop_gracefully(host)

    def _stop_control(self) -> None:
        host = self._reserve(self._controls)
        if host is not None:
            self._record_fault("control stopped", is_planned=True)
            self._stop_gracefully(host)

    def _kill(self, hosts: tuple[str, ...], name: str) -> str | None:
        host = self._reserve(hosts)
        if host is not None:
            self._record_fault(name)
            self._hosts.stop(host, signal.SIGKILL)
            self._schedule(0.1, 1.5, lambda: self._restart(host))
        return host

    def _kill_router(self) -> None:
        self._kill(self._routers, "router killed")

    def _kill_control(self) -> None:
        self._kill(self._controls, "control killed")

    def _lose_disk(self) -> None:
        host = self._kill(self._controls, "disk lost")
        if host is not None:
            shutil.rmtree(self._hosts.data_folder(host), ignore_errors=True)

    def _leave_torn_write(self) -> None:
        """Kill a control host and append a partial, never synced write to its log."""
        host = self._kill(self._controls, "write torn")
        if host is not None:
            log = self._hosts.data_folder(host) / "replica" / "log"
            if log.exists():
                with log.open("ab") as file:
                    file.write(self._rng.randbytes(self._rng.randint(1, 40)))

    def _pause(self, hosts: tuple[str, ...], name: str) -> None:
        host = self._reserve(hosts)
        if host is None:
            return
        self._record_fault(name)
        self._hosts.send_signal(host, signal.SIGSTOP)

        def resume() -> None:
            self._hosts.send_signal(host, signal.SIGCONT)
            self.result.fault_times_s.append(time.monotonic())
            self._release(host)

        self._schedule(0.3, 4.0, resume)

    def _pause_router(self) -> None:
        self._pause(self._routers, "router paused")

    def _pause_control(self) -> None:
        self._pause(self._controls, "control paused")

    def _disrupt_endpoint(self) -> None:
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
        self._record_fault(f"endpoint {field_name or 'connections'} {value}")
        if not field_name:
            actions = {
                "reset": endpoint.reset_connections,
                "silence": endpoint.blackhole_connections,
            }
            self.endpoints.call_soon(actions[str(value)])
            return
        self._set_fault(endpoint, field_name, value)
        self._schedule(0.5, 3.0, lambda: self._set_fault(endpoint, field_name, normal))

    def _set_fault(self, endpoint: FaultyEndpoint, name: str, value: object) -> None:
        self.result.fault_times_s.append(time.monotonic())
        self.endpoints.call_soon(lambda: setattr(endpoint, name, value))

    # Configuration

    def _put_configuration(self, has_revoked_key: bool) -> bool:
        version = self._version
        for host in self._rng.sample(self._controls, len(self._controls)):
            try:
                status = put_document(host, build_document(version, has_revoked_key))
            except (OSError, HTTPException):
                continue  # The host is unavailable; operators try the next one.
            if status == 200:
                self.result.acknowledged_versions.append((version, time.monotonic()))
                self._version += 1
                return True
        # Without an acknowledgement the document may still have been committed, so the
        # next change uses a new version.
        self._version += 1
        return False

    def _change_configuration(self) -> None:
        self.result.faults["configuration changed"] += 1
        self._put_configuration(self.result.key_revoked_s is None)
        self._schedule(APPLY_LIMIT_S, APPLY_LIMIT_S + 0.5, self._check_read_back)

    def _revoke_key(self) -> None:
        if self.result.key_revoked_s is None and self._put_configuration(False):
            self.result.faults["key revoked"] += 1
            self.result.key_revoked_s = time.monotonic()

    def _check_read_back(self) -> None:
        read_at_s = time.monotonic()
        host = self._rng.choice(self._controls)
        try:
            document = read_document(host)
        except (OSError, HTTPException):
            return  # An unavailable host violates no guarantee.
        acknowledged_versions = [
            version
            for version, at_s in self.result.acknowledged_versions
            if at_s + APPLY_LIMIT_S < read_at_s
        ]
        if document is not None and document["version"] < max(
            acknowledged_versions, default=0
        ):
            self.result.violations.append(
                f"{host} returned configuration version {document['version']} after "
                f"version {max(acknowledged_versions)} was acknowledged"
            )

    def _recover_and_check(self) -> None:
        """End all faults; check that the deployment serves and kept its state."""
        while self._scheduled:
            self._run_due(time.monotonic())
            time.sleep(0.05)
        time.sleep(RECOVERY_S)
        newest = max(
            (version for version, _ in self.result.acknowledged_versions), default=0
        )

        def has_newest_version() -> bool:
            document = read_document(self._rng.choice(self._controls))
            return document is not None and bool(document["version"] >= newest)

        self._wait_until(has_newest_version)
        self._wait_until(
            lambda: all(self._hosts.is_ready(router) for router in self._routers)
        )

    def _stop_without_faults(self) -> None:
        """Stop a router while nothing else is disturbed."""
        self._stop_router()
        while self._scheduled:
            self._run_due(time.monotonic())
            time.sleep(0.05)

    # Checks of the guarantees

    def _check_records(self, records: list[RequestRecord]) -> None:
        for check in (
            self._check_runs,
            self._check_answers,
            self._check_refusals,
            self._check_planned_stops,
            self._check_valid_keys,
            self._check_revocation,
        ):
            self.result.violations += check(records)
        for record in records:
            outcome = record.status if record.is_complete else "cut"
            self.result.faults[f"result {record.kind} {outcome}"] += 1

    def _check_runs(self, records: list[RequestRecord]) -> list[str]:
        runs = self.endpoints.log.runs
        return [
            f"{record.request_id} was executed {runs[record.request_id]} times"
            for record in records
            if record.kind == "booking" and runs[record.request_id] > 1
        ]

    def _check_answers(self, records: list[RequestRecord]) -> list[str]:
        return [
            f"{record.request_id} ({record.kind}) got a wrong response: {record.note}"
            for record in records
            if record.status == 200
            and record.is_complete
            and not record.matches_request
        ]

    def _check_refusals(self, records: list[RequestRecord]) -> list[str]:
        runs = self.endpoints.log.runs
        return [
            f"{record.request_id} ({record.kind}) was refused but executed"
            for record in records
            if record.status == 503 and runs[record.request_id]
        ]

    def _check_planned_stops(self, records: list[RequestRecord]) -> list[str]:
        violations = []
        for host, began_s, ended_s in self.result.planned_stops:
            has_no_faults = not any(
                began_s - FAULT_FREE_S < at_s < ended_s
                for at_s in self.result.fault_times_s
            )
            violations += [
                f"{record.request_id} ({record.kind}) was interrupted by the graceful "
                f"shutdown of {host}"
                for record in records
                if has_no_faults
                and record.router == host
                and began_s <= record.ended_s <= ended_s + 1
                and not record.is_complete
                and self.endpoints.log.runs[record.request_id]
            ]
        return violations

    def _check_valid_keys(self, records: list[RequestRecord]) -> list[str]:
        return [
            f"{record.request_id} ({record.kind}) got status {record.status} although "
            "every configuration has its key and route"
            for record in records
            if record.status in (401, 404) and not _uses_revoked_key(record)
        ]

    def _check_revocation(self, records: list[RequestRecord]) -> list[str]:
        key_revoked_s = self.result.key_revoked_s
        if key_revoked_s is None:
            return []
        runs = self.endpoints.log.runs
        return [
            f"{record.request_id} was executed with a key that was revoked "
            f"{record.sent_s - key_revoked_s:.1f} s before it was sent"
            for record in records
            if _uses_revoked_key(record)
            and record.sent_s > key_revoked_s + REVOCATION_LIMIT_S
            and runs[record.request_id]
        ]


def _uses_revoked_key(record: RequestRecord) -> bool:
    """Return whether the last caller sent the request; only its key is revoked."""
    return record.request_id.startswith(f"c{CALLERS - 1}-")


def run_seed(
    seed: int,
    seconds: float,
    keep: Path | None = None,
    octet: int | None = None,
) -> SoakResult:
    """Run one seed in a temporary folder.

    Args:
        seed: Seed of the run.
        seconds: Time during which faults are injected.
        keep: Folder that the logs are copied to after a violation.
        octet: Third octet of the loopback addresses; None draws a free one.
    """
    with (
        Subnet(octet) as subnet,
        tempfile.TemporaryDirectory(prefix="mustardtrack-soak-") as folder,
    ):
        result = FaultSoak(seed, seconds, Path(folder), subnet).run()
        if result.violations and keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    return result


def main() -> int:
    """Run the seeds of the command line; return 1 after a violation or time-out."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration of fault injection for each seed",
    )
    parser.add_argument("--keep", type=Path, help="folder for the logs of failed seeds")
    parser.add_argument(
        "--subnet", type=int, help="third octet of the addresses; default: a free one"
    )
    arguments = parser.parse_args()
    has_failed = False
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        try:
            result = run_seed(seed, arguments.seconds, arguments.keep, arguments.subnet)
        except subprocess.TimeoutExpired as error:
            print(f"seed {seed}: {error}")
            has_failed = True
            continue
        counts = " ".join(f"{k}={v}" for k, v in sorted(result.faults.items()))
        print(f"seed {seed}: {len(result.violations)} violations; {counts}")
        for violation in result.violations:
            print(f"  {violation}")
        has_failed = has_failed or bool(result.violations)
    return 1 if has_failed else 0


if __name__ == "__main__":
    sys.exit(main())
