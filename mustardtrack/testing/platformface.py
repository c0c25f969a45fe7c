"""HTTP face of the stand-in platform."""

from typing import Any

import msgspec
from klein import Klein

from mustardtrack.testing.platformmodel import HostList, LaggingHosts
from mustardtrack.testing.server import answer_error, answer_json, now_ms


class PlatformFace:
    """Routes of the stand-in platform."""

    app = Klein()

    def __init__(self, hosts: LaggingHosts):
        self._hosts = hosts

    @app.route("/hosts", methods=["GET"])
    def show(self, request: Any) -> bytes:
        """Return the lagging list."""
        return answer_json(request, self._hosts.read(now_ms()))

    @app.route("/hosts", methods=["POST"])
    def replace(self, request: Any) -> bytes:
        """Replace the list; readers see it after the lag."""
        hosts = msgspec.json.decode(request.content.read(), type=HostList)
        self._hosts.replace(hosts, now_ms())
        return answer_json(request, hosts)

    @app.handle_errors(msgspec.DecodeError)
    def refuse_invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that cannot be decoded."""
        return answer_error(request, 400, "invalid", str(failure.value))
