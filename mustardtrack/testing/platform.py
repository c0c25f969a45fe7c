"""Stand-in for the platform's list of hosts.

``python -m mustardtrack.testing.platform --name platform --address 127.0.0.1:9301``
"""

from typing import Any

from mustardtrack.testing.delayed_hosts import DelayedHostList, HostEntry, HostList
from mustardtrack.testing.server import make_parser, run_server


def main() -> None:
    """Run the stand-in platform."""
    parser = make_parser("Stand-in for the platform's list of hosts.")
    parser.add_argument("--host", action="append", default=[], metavar="IP:PORT")
    parser.add_argument("--lag-ms", type=int, default=1000)
    args = parser.parse_args()
    hosts = HostList([HostEntry(address) for address in args.host])

    def make_resource() -> Any:
        from mustardtrack.testing.platform_api import PlatformApi

        return PlatformApi(DelayedHostList(hosts, args.lag_ms)).app.resource()

    run_server(args.address, make_resource, args.name)


if __name__ == "__main__":
    main()
