"""A control host is removed, and another one loses its disk, beside a successor."""

import http.client
import json
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness_3 import (  # noqa: E402
    BOUNDS,
    CONTROL,
    ENGINE_PORT,
    HAS_TROUBLE,
    Client,
    Deployment,
    PlatformList,
    Record,
    StandIns,
    answer_soundly,
    build_entry,
    build_manifest,
    build_route,
    build_service,
    call,
    run_case,
)

# Twice the time after which a removed machine no longer counts.
SUCCESSOR_AHEAD_S = 2 * BOUNDS["catch-up-s"]
# Time from the removal of one machine to the loss of another one's disk, and the time
# for which that machine is down.
APART_S, DOWN_S = 0.3, 1.0
# The operator reads for this long: recovery-s and contact-ms twice over.
READ_FOR_S = 30.0
READ_PERIOD_S = 0.5
LOOKUPS_PER_READ = 4


def read_version(record: Record, host: str) -> int:
    """Read the manifest at a control host; return its version, 0 if it doesn't come."""
    try:
        status, body, _ = call(host, CONTROL, "GET", "/v1/config/get", b"", {}, 1.0)
    except (OSError, http.client.HTTPException) as error:
        record.write(f"operator: reads at {host}: {error!r}")
        return 0
    version = json.loads(body)["version"] if status == 200 else 0
    record.write(f"operator: reads at {host}: {status}, version {version}")
    return version


def main(record: Record, deployment: Deployment, stand_ins: StandIns) -> bool:
    """Replace one control host and wipe another; the manifest must come back."""
    engine = deployment.address(41)
    stand_ins.listen(engine, ENGINE_PORT, answer_soundly)
    entry = build_entry("i-0", f"{engine}:{ENGINE_PORT}")
    PlatformList(lambda: [entry]).listen(deployment, stand_ins)
    manifest = build_manifest([build_route("/look/", "idempotent")], [build_service()])
    deployment.start_all(manifest)
    removed, wiped, kept = deployment.controls
    successor = deployment.address(14)
    record.write(f"platform: starts {successor} with an empty disk")
    deployment.start(successor, is_first=False)
    time.sleep(SUCCESSOR_AHEAD_S)
    deployment.put({**manifest, "version": 2})
    time.sleep(1.0)
    readable = [wiped, kept, successor]
    if HAS_TROUBLE:
        record.write(f"platform: removes {removed} for good")
        deployment.running[removed].send_signal(signal.SIGKILL)
        time.sleep(APART_S)
        record.write(f"platform: {wiped} goes down and loses its disk")
        deployment.running[wiped].send_signal(signal.SIGKILL)
        deployment.running[wiped].wait()
        shutil.rmtree(deployment.data_folder(wiped))
        time.sleep(DOWN_S)
        record.write(f"platform: starts {wiped} with an empty disk")
        deployment.start(wiped, is_first=False)
    client = Client(record, deployment.routers)
    end_s = time.monotonic() + READ_FOR_S
    versions: list[int] = []
    last: list[int] = []
    while time.monotonic() < end_s:
        read = [read_version(record, host) for host in readable]
        versions += read
        if time.monotonic() > end_s - BOUNDS["contact-ms"] / 1000:
            last += read
        for _ in range(LOOKUPS_PER_READ):
            number = client.sent + 1
            client.send(f"{number:016x}", number, f"/look/{number}", "GET")
        time.sleep(READ_PERIOD_S)
    running = [host for host in readable if deployment.running[host].poll() is None]
    record.write(
        f"{len(running)} control hosts run; {sum(one >= 2 for one in versions)} of "
        f"{len(versions)} reads brought the acknowledged manifest; {client.failed} of "
        f"{client.sent} lookups were not answered with success"
    )
    return any(version >= 2 for version in last)


if __name__ == "__main__":
    sys.exit(run_case(main, __file__))
