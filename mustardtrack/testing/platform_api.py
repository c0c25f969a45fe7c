"""HTTP API of the stand-in platform."""

from typing import Any

import msgspec
from klein import Klein

from mustardtrack.testing.delayed_hosts import DelayedHostList, HostList
from mustardtrack.testing.server import error_response, json_response, now_ms


class PlatformApi:
    """HTTP routes of the stand-in platform."""

    app = Klein()

    def __init__(self, hosts: DelayedHostList):
        self._hosts = hosts

    @app.route("/hosts", methods=["GET"])
    def list_hosts(self, request: Any) -> bytes:
        """Return the delayed list."""
        return json_response(request, self._hosts.read(now_ms()))

    @app.route("/hosts", methods=["POST"])
    def replace_hosts(self, request: Any) -> bytes:
        """Replace the list; readers see the change after the delay."""
        hosts = msgspec.json.decode(request.content.read(), type=HostList)
        self._hosts.replace(hosts, now_ms())
        return json_response(request, hosts)

    @app.handle_errors(msgspec.DecodeError)
    def handle_invalid_request(self, request: Any, failure: Any) -> bytes:
        """Respond to a request that cannot be decoded."""
        return error_response(request, 400, "invalid", str(failure.value))
