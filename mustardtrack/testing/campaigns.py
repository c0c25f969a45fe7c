"""Command line of fault campaigns: ``python -m mustardtrack.testing.campaigns``."""

import argparse
import sys
import tempfile
from pathlib import Path

from mustardtrack.testing.fault_campaign import (
    FAULTS,
    Campaign,
    CampaignResult,
    FaultInjector,
    rolling_restart,
)
from mustardtrack.testing.fleet import Fleet
from mustardtrack.testing.local_deployment import Deployment

FULL_ROUTER_COUNT = 8


def run_campaign(
    folder: Path,
    seed: int,
    seconds: float,
    fault_kinds: tuple[str, ...],
    routers: int = 8,
    callers: int = 12,
    name: str = "stenaprav",
) -> CampaignResult:
    """Run one campaign; without fault kinds, run a rolling graceful restart."""
    with Fleet(folder) as fleet:
        deployment = Deployment(fleet, name, routers=routers)
        # A deployment with fewer routers than the example also gets fewer endpoints.
        if routers < FULL_ROUTER_COUNT:
            deployment.engines, deployment.services = 4, 2
        deployment.start()
        campaign = Campaign(
            deployment, seed, callers, disconnects_allowed=bool(fault_kinds)
        )
        if fault_kinds:
            return campaign.run(FaultInjector(deployment, seconds, fault_kinds))
        return campaign.run(rolling_restart(deployment))


def main() -> int:
    """Run a campaign and print its counters; return 1 if there are violations."""
    parser = argparse.ArgumentParser(description="Run a fault campaign.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--routers", type=int, default=8)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--deployment", default="stenaprav")
    parser.add_argument("--faults", default=",".join(sorted(FAULTS)))
    parser.add_argument(
        "--planned", action="store_true", help="rolling graceful restart without faults"
    )
    parser.add_argument("--folder", type=Path, help="folder that keeps the logs")
    options = parser.parse_args()
    fault_kinds = () if options.planned else tuple(options.faults.split(","))
    with tempfile.TemporaryDirectory() as temporary:
        result = run_campaign(
            options.folder or Path(temporary),
            options.seed,
            options.minutes * 60,
            fault_kinds,
            options.routers,
            options.callers,
            options.deployment,
        )
    for name, count in sorted(result.counts.items()):
        print(f"{name:32} {count}")
    for note in result.notes:
        print(note)
    print(f"longest request {result.longest_request_s:.1f} s")
    print(f"bookings {len(result.bookings)}, violations {len(result.violations)}")
    for violation in result.violations[:20]:
        print(f"violation: {violation}")
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
