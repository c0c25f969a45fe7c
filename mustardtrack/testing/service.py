"""Stand-in service process.

``python -m mustardtrack.testing.service --name hire-1 --address 127.0.0.1:9101``
"""

from argparse import ArgumentParser
from typing import Any

import msgspec

from mustardtrack.testing.fault_injection import ServiceFaults
from mustardtrack.testing.server import (
    RunJournal,
    add_fault_options,
    make_parser,
    run_server,
)
from mustardtrack.testing.simulated_service import ServiceOptions


def make_service_parser() -> ArgumentParser:
    """Return the command-line parser."""
    parser = make_parser("Stand-in for a plain service.")
    add_fault_options(parser)
    parser.add_argument("--serves", action="append", default=[], metavar="SERVICE")
    parser.add_argument("--work-ms", type=int, default=ServiceOptions.work_ms)
    parser.add_argument("--max-running", type=int, default=ServiceOptions.max_running)
    parser.add_argument("--load-lag-ms", type=int, default=ServiceOptions.load_lag_ms)
    return parser


def main() -> None:
    """Run the stand-in service."""
    args = make_service_parser().parse_args()
    faults = msgspec.convert(args.faults, ServiceFaults)
    options = ServiceOptions(
        args.name,
        tuple(args.serves),
        args.work_ms,
        args.max_running,
        args.load_lag_ms,
        args.fencing == "checked",
    )

    def make_resource() -> Any:
        from mustardtrack.testing.service_api import ServiceApi

        return ServiceApi(options, faults, RunJournal(args.journal)).start()

    run_server(args.address, make_resource, args.name)


if __name__ == "__main__":
    main()
