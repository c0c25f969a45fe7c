"""Shared code of the stand-in servers: clock, options, listening, responses."""

import json
import os
import sys
import time
import uuid
from argparse import ArgumentParser
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from mustardtrack.logs import configure_logging, define_event, log_event
from mustardtrack.settings.models import split_address

LISTENING = define_event(8500, "INFO", "stand-in server listening")
FAULTS_CHANGED = define_event(8501, "INFO", "fault injection settings changed")
CRASH = define_event(8502, "WARNING", "stand-in process exiting without cleanup")
UNHANDLED_ERROR = define_event(8503, "ERROR", "unhandled error in stand-in server")

CRASH_EXIT_CODE = 70


def now_ms() -> int:
    """Return the monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def new_incarnation() -> str:
    """Return a random identifier that is new for each start of the process."""
    return uuid.uuid4().hex[:16]


def crash(reason: str) -> None:
    """Exit the process immediately, without cleanup."""
    log_event(CRASH, reason=reason)
    os._exit(CRASH_EXIT_CODE)


def make_parser(description: str) -> ArgumentParser:
    """Return a parser with the options that all stand-ins share."""
    parser = ArgumentParser(description=description)
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True, help="IP:PORT to listen on")
    return parser


def add_fault_options(parser: ArgumentParser) -> None:
    """Add the options for fault injection, the run journal and fencing."""
    parser.add_argument("--faults", type=json.loads, default={}, help="JSON object")
    parser.add_argument(
        "--journal", type=Path, help="file to which each run is appended"
    )
    parser.add_argument("--fencing", choices=("checked", "ignored"), default="checked")


class RunJournal:
    """Appends one line per run, so that run counts survive a crash.

    Args:
        path: File to append to; None disables the journal.
    """

    def __init__(self, path: Path | None):
        self._file = path.open("a", encoding="utf-8") if path else None

    def write(self, **fields: str) -> None:
        """Append one JSON object and flush it to the operating system."""
        if self._file is not None:
            self._file.write(json.dumps(fields) + "\n")
            self._file.flush()


def run_server(address: str, make_resource: Callable[[], Any], name: str) -> None:
    """Serve until SIGTERM or SIGINT.

    Args:
        address: ``IP:PORT``.
        make_resource: Imports Klein and returns the web resource; called after the
            asyncio reactor is installed, because Klein imports the reactor.
        name: Server name for the log.
    """
    from twisted.internet import asyncioreactor

    asyncioreactor.install()
    from twisted.internet import reactor
    from twisted.python import log
    from twisted.web.server import Site

    configure_logging(sys.stderr)
    log.addObserver(_log_unhandled_error)
    host, port = split_address(address)
    site = Site(make_resource())
    reactor.listenTCP(port, site, backlog=512, interface=host)  # type: ignore
    log_event(LISTENING, name=name, address=address)
    reactor.callWhenRunning(print, "ready", flush=True)  # type: ignore
    reactor.run()  # type: ignore


def _log_unhandled_error(event: dict[str, Any]) -> None:
    if event.get("isError") and "failure" in event:
        log_event(UNHANDLED_ERROR, trace=event["failure"].getTraceback())


def json_response(request: Any, body: Any, status: int = 200) -> bytes:
    """Set the status and content type of a response and return its JSON body."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(body)


def error_response(request: Any, status: int, code: str, message: str) -> bytes:
    """Return an error response for a request that was refused and did not run."""
    error = {
        "message": message,
        "type": "refusal",
        "code": code,
        "ran": "not_run",
    }
    return json_response(request, {"error": error}, status)


def reset_connection(request: Any) -> None:
    """Reset the connection of a request and discard its unsent bytes."""
    request.transport.abortConnection()


def close_connection(request: Any) -> None:
    """Close the connection of a request after sending the bytes written so far."""
    request.transport.loseConnection()


def run_periodically(callback: Callable[[], None], period_ms: int) -> None:
    """Call ``callback`` periodically; an exception in it crashes the process.

    If only the periodic callback stopped, the server would look like a stalled
    endpoint.
    """
    from twisted.internet.task import LoopingCall

    loop = LoopingCall(callback)
    loop.start(period_ms / 1000).addErrback(_crash_on_error)


def _crash_on_error(failure: Any) -> None:
    log_event(UNHANDLED_ERROR, trace=failure.getTraceback())
    crash("periodic callback failed")
