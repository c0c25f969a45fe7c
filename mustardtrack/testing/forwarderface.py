"""Connections and HTTP control of the forwarder."""

from __future__ import annotations

from typing import Any

import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

from mustardtrack.settings.models import split_address
from mustardtrack.testing.forwardermodel import Mode
from mustardtrack.testing.server import answer_error, answer_json


class Link:
    """One forwarded connection: the side of the caller and that of the target.

    A silent link stays silent for its whole life, like one whose state an
    intermediary has lost: bytes are read and discarded, and the end of one side
    is not shown to the other.
    """

    def __init__(self, forwarder: Forwarder, silent: bool):
        self.forwarder = forwarder
        self.silent = silent
        self.sides: list[Side] = []

    def other(self, side: Side) -> Side | None:
        """Return the opposite side, None while or after it is not connected."""
        others = [one for one in self.sides if one is not side]
        return others[0] if others else None

    def connect_sides(self) -> None:
        """Let a full send buffer of one side pause the reading of the other."""
        one, two = self.sides
        if not self.silent:
            one.transport.registerProducer(two.transport, True)
            two.transport.registerProducer(one.transport, True)
        one.transport.resumeProducing()

    def silence(self) -> None:
        """Discard everything from now on."""
        self.silent = True
        for side in self.sides:
            side.transport.unregisterProducer()
            side.transport.resumeProducing()

    def reset(self) -> None:
        """Reset both sides."""
        self.silent = False
        for side in list(self.sides):
            side.transport.abortConnection()


class Side(Protocol):
    """One TCP connection of a link."""

    transport: Any

    def __init__(self, link: Link):
        self.link = link

    def connectionMade(self) -> None:  # noqa: N802
        """Start to forward once both sides are connected."""
        if not self.link.sides:
            self.transport.abortConnection()  # the caller has gone in the meantime
            return
        self.link.sides.append(self)
        self.link.connect_sides()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward or discard."""
        other = self.link.other(self)
        if self.link.silent or other is None:
            self.link.forwarder.dropped_bytes += len(data)
        else:
            other.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Show the end of this side to the other one, unless the link is silent."""
        if self in self.link.sides:
            self.link.sides.remove(self)
        other = self.link.other(self)
        if other is not None and not self.link.silent:
            other.transport.unregisterProducer()
            other.transport.loseConnection()
        if not self.link.sides:
            self.link.forwarder.links.discard(self.link)


class CallerSide(Side):
    """Accepted connection; opens the connection to the target."""

    def connectionMade(self) -> None:  # noqa: N802
        """Pause until the target is connected."""
        forwarder = self.link.forwarder
        forwarder.links.add(self.link)
        self.link.sides.append(self)
        if forwarder.mode.for_new() == "close":
            self.transport.abortConnection()
            return
        self.transport.pauseProducing()
        forwarder.connect_target(self)


class TargetFactory(ClientFactory):
    """Makes the target side of one link."""

    noisy = False

    def __init__(self, link: Link):
        self._link = link

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        """Return the target side."""
        return Side(self._link)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Reset the caller if the target does not accept the connection."""
        self._link.reset()


class CallerFactory(ServerFactory):
    """Makes the caller side of each link."""

    noisy = False

    def __init__(self, forwarder: Forwarder):
        self._forwarder = forwarder

    def buildProtocol(self, addr: Any) -> CallerSide:  # noqa: N802
        """Return the caller side of a new link."""
        silent = self._forwarder.mode.for_new() == "drop"
        return CallerSide(Link(self._forwarder, silent))


class Forwarder:
    """Links to one target and the routes that control them.

    Args:
        target: ``IP:PORT`` to forward to.
    """

    app = Klein()

    def __init__(self, target: str):
        self.mode = Mode("pass")
        self.links: set[Link] = set()
        self.dropped_bytes = 0
        self._target = split_address(target)

    def listen(self, address: str) -> Any:
        """Accept connections and return the web resource of the control port."""
        host, port = split_address(address)
        factory = CallerFactory(self)
        reactor.listenTCP(port, factory, backlog=512, interface=host)  # type: ignore
        return self.app.resource()

    def connect_target(self, caller: CallerSide) -> None:
        """Open the connection to the target."""
        host, port = self._target
        reactor.connectTCP(host, port, TargetFactory(caller.link))  # type: ignore

    @app.route("/mode", methods=["GET"])
    def show(self, request: Any) -> bytes:
        """Return the mode, the number of links and the discarded bytes."""
        body = msgspec.to_builtins(self.mode) | {
            "links": len(self.links),
            "dropped_bytes": self.dropped_bytes,
        }
        return answer_json(request, body)

    @app.route("/mode", methods=["POST"])
    def set_mode(self, request: Any) -> bytes:
        """Change the mode and apply it to the existing links."""
        self.mode = msgspec.json.decode(request.content.read(), type=Mode)
        for link in list(self.links):
            if self.mode.mode == "drop":
                link.silence()
            elif self.mode.mode == "close":
                link.reset()
        return answer_json(request, self.mode)

    @app.handle_errors(msgspec.DecodeError)
    def refuse_invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that cannot be decoded."""
        return answer_error(request, 400, "invalid", str(failure.value))
