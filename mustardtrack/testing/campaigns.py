"""Command line of the campaigns: ``python -m mustardtrack.testing.campaigns``."""

import argparse
import sys
import tempfile
from pathlib import Path

from mustardtrack.testing.campaign import (
    FAULTS,
    Campaign,
    FaultSchedule,
    Findings,
    restart_all,
)
from mustardtrack.testing.deployment import Deployment
from mustardtrack.testing.fleet import Fleet

FULL_ROUTERS = 8


def run_campaign(
    folder: Path,
    seed: int,
    seconds: float,
    kinds: tuple[str, ...],
    routers: int = 8,
    callers: int = 12,
    name: str = "stenaprav",
) -> Findings:
    """Run one campaign; without fault kinds it is a rolling planned restart."""
    with Fleet(folder) as fleet:
        deployment = Deployment(fleet, name, routers=routers)
        if routers < FULL_ROUTERS:
            deployment.engines, deployment.services = 4, 2
        deployment.start()
        campaign = Campaign(deployment, seed, callers, cuts_allowed=bool(kinds))
        if kinds:
            return campaign.run(FaultSchedule(deployment, seconds, kinds))
        return campaign.run(restart_all(deployment))


def main() -> int:
    """Run a campaign and print its counts; exit 1 if there are violations."""
    parser = argparse.ArgumentParser(description="Run a campaign of faults.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--routers", type=int, default=8)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--deployment", default="stenaprav")
    parser.add_argument("--faults", default=",".join(sorted(FAULTS)))
    parser.add_argument(
        "--planned", action="store_true", help="rolling planned restart, no faults"
    )
    parser.add_argument("--folder", type=Path, help="keep logs in this folder")
    options = parser.parse_args()
    kinds = () if options.planned else tuple(options.faults.split(","))
    with tempfile.TemporaryDirectory() as temporary:
        findings = run_campaign(
            options.folder or Path(temporary),
            options.seed,
            options.minutes * 60,
            kinds,
            options.routers,
            options.callers,
            options.deployment,
        )
    for count, number in sorted(findings.counts.items()):
        print(f"{count:32} {number}")
    for note in findings.notes:
        print(note)
    print(f"longest request {findings.longest_s:.1f} s")
    print(f"bookings {len(findings.bookings)}, violations {len(findings.violations)}")
    for violation in findings.violations[:20]:
        print(f"violation: {violation}")
    return 1 if findings.violations else 0


if __name__ == "__main__":
    sys.exit(main())
