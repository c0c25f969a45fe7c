"""TCP forwarder process that can blackhole or reset its connections.

``python -m mustardtrack.testing.forwarder --name f --address 127.0.0.1:9201
--target 127.0.0.1:9001 --control 127.0.0.1:9202``
"""

from typing import Any

from mustardtrack.testing.server import make_parser, run_server


def main() -> None:
    """Run the forwarder."""
    parser = make_parser("TCP forwarder that can blackhole or reset connections.")
    parser.add_argument("--target", required=True, help="IP:PORT to forward to")
    parser.add_argument("--control", required=True, help="IP:PORT of POST /mode")
    args = parser.parse_args()

    def make_resource() -> Any:
        from mustardtrack.testing.tcp_forwarder import Forwarder

        return Forwarder(args.target).listen(args.address)

    run_server(args.control, make_resource, args.name)


if __name__ == "__main__":
    main()
