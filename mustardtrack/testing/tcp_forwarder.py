"""Connections and HTTP control API of the TCP forwarder."""

from __future__ import annotations

from typing import Any

import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

from mustardtrack.settings.models import split_address
from mustardtrack.testing.forwarder_mode import Mode
from mustardtrack.testing.server import error_response, json_response


class ForwardedConnection:
    """A forwarded connection with a client side and a target side.

    A blackholed connection stays so when the mode changes back to ``pass``, like one
    whose state a middlebox has lost: bytes are read and discarded, and the close of
    one side is not propagated to the other.
    """

    def __init__(self, forwarder: Forwarder, blackholed: bool):
        self.forwarder = forwarder
        self.blackholed = blackholed
        self.sides: list[ConnectionSide] = []

    def other(self, side: ConnectionSide) -> ConnectionSide | None:
        """Return the opposite side, or None if it is not connected."""
        others = [candidate for candidate in self.sides if candidate is not side]
        return others[0] if others else None

    def start_forwarding(self) -> None:
        """Start reading; a full send buffer on one side pauses reads on the other."""
        client, target = self.sides
        if not self.blackholed:
            client.transport.registerProducer(target.transport, True)
            target.transport.registerProducer(client.transport, True)
        client.transport.resumeProducing()

    def blackhole(self) -> None:
        """Discard all further bytes in both directions."""
        self.blackholed = True
        for side in self.sides:
            side.transport.unregisterProducer()
            side.transport.resumeProducing()

    def reset(self) -> None:
        """Reset both sides."""
        self.blackholed = False
        for side in list(self.sides):
            side.transport.abortConnection()


class ConnectionSide(Protocol):
    """One of the two TCP connections of a forwarded connection."""

    transport: Any

    def __init__(self, connection: ForwardedConnection):
        self.connection = connection

    def connectionMade(self) -> None:  # noqa: N802
        """Start forwarding once both sides are connected."""
        if not self.connection.sides:
            self.transport.abortConnection()  # the client disconnected meanwhile
            return
        self.connection.sides.append(self)
        self.connection.start_forwarding()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward the bytes to the other side, or discard and count them."""
        other = self.connection.other(self)
        if self.connection.blackholed or other is None:
            self.connection.forwarder.dropped_bytes += len(data)
        else:
            other.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other side too, unless the connection is blackholed."""
        if self in self.connection.sides:
            self.connection.sides.remove(self)
        other = self.connection.other(self)
        if other is not None and not self.connection.blackholed:
            other.transport.unregisterProducer()
            other.transport.loseConnection()
        if not self.connection.sides:
            self.connection.forwarder.connections.discard(self.connection)


class ClientSide(ConnectionSide):
    """Accepted client connection; opens the connection to the target."""

    def connectionMade(self) -> None:  # noqa: N802
        """Pause reads until the target is connected."""
        forwarder = self.connection.forwarder
        forwarder.connections.add(self.connection)
        self.connection.sides.append(self)
        if forwarder.mode.new_connection_action() == "close":
            self.transport.abortConnection()
            return
        self.transport.pauseProducing()
        forwarder.connect_target(self)


class TargetSideFactory(ClientFactory):
    """Creates the target side of one forwarded connection."""

    noisy = False

    def __init__(self, connection: ForwardedConnection):
        self._connection = connection

    def buildProtocol(self, addr: Any) -> ConnectionSide:  # noqa: N802
        """Return the target side."""
        return ConnectionSide(self._connection)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Reset the client side if the target cannot be reached."""
        self._connection.reset()


class ClientSideFactory(ServerFactory):
    """Creates the client side of each forwarded connection."""

    noisy = False

    def __init__(self, forwarder: Forwarder):
        self._forwarder = forwarder

    def buildProtocol(self, addr: Any) -> ClientSide:  # noqa: N802
        """Return the client side of a new forwarded connection."""
        blackholed = self._forwarder.mode.new_connection_action() == "drop"
        return ClientSide(ForwardedConnection(self._forwarder, blackholed))


class Forwarder:
    """Forwards connections to one target; HTTP routes control the mode.

    Args:
        target: ``IP:PORT`` to forward to.
    """

    app = Klein()

    def __init__(self, target: str):
        self.mode = Mode("pass")
        self.connections: set[ForwardedConnection] = set()
        self.dropped_bytes = 0
        self._target = split_address(target)

    def listen(self, address: str) -> Any:
        """Accept connections and return the web resource of the control port."""
        host, port = split_address(address)
        factory = ClientSideFactory(self)
        reactor.listenTCP(port, factory, backlog=512, interface=host)  # type: ignore
        return self.app.resource()

    def connect_target(self, client_side: ClientSide) -> None:
        """Open the connection to the target."""
        host, port = self._target
        reactor.connectTCP(host, port, TargetSideFactory(client_side.connection))  # type: ignore

    @app.route("/mode", methods=["GET"])
    def get_mode(self, request: Any) -> bytes:
        """Return the mode, the number of connections and of discarded bytes."""
        body = msgspec.to_builtins(self.mode) | {
            "links": len(self.connections),
            "dropped_bytes": self.dropped_bytes,
        }
        return json_response(request, body)

    @app.route("/mode", methods=["POST"])
    def set_mode(self, request: Any) -> bytes:
        """Set the mode and apply it to the existing connections."""
        self.mode = msgspec.json.decode(request.content.read(), type=Mode)
        for connection in list(self.connections):
            if self.mode.mode == "drop":
                connection.blackhole()
            elif self.mode.mode == "close":
                connection.reset()
        return json_response(request, self.mode)

    @app.handle_errors(msgspec.DecodeError)
    def handle_invalid_request(self, request: Any, failure: Any) -> bytes:
        """Respond to a request that cannot be decoded."""
        return error_response(request, 400, "invalid", str(failure.value))
