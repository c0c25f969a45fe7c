"""Common parts of the stand-in processes: clock, options, listening, answers."""

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

LISTENING = define_event(8500, "INFO", "stand-in listens")
FAULTS_CHANGED = define_event(8501, "INFO", "fault switches changed")
CRASHING = define_event(8502, "WARNING", "process exits because of a fault switch")
UNHANDLED = define_event(8503, "ERROR", "unhandled error in a stand-in")

CRASH_STATUS = 70


def now_ms() -> int:
    """Return monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def new_incarnation() -> str:
    """Return an identity that differs for each start of a process."""
    return uuid.uuid4().hex[:16]


def crash(reason: str) -> None:
    """End the process at once, without any cleanup."""
    log_event(CRASHING, reason=reason)
    os._exit(CRASH_STATUS)


def make_parser(description: str) -> ArgumentParser:
    """Return a parser with the options that all stand-ins share."""
    parser = ArgumentParser(description=description)
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True, help="IP:PORT to listen on")
    return parser


def add_fault_options(parser: ArgumentParser) -> None:
    """Add the options of stand-ins with fault switches and run counts."""
    parser.add_argument("--faults", type=json.loads, default={}, help="JSON object")
    parser.add_argument("--journal", type=Path, help="file that receives each run")
    parser.add_argument("--fencing", choices=("checked", "ignored"), default="checked")


class Journal:
    """Appends one line for each run, so that counts survive a crash.

    Args:
        path: File to append to; None writes nothing.
    """

    def __init__(self, path: Path | None):
        self._file = path.open("a", encoding="utf-8") if path else None

    def write(self, **fields: str) -> None:
        """Append one JSON object and flush it to the operating system."""
        if self._file is not None:
            self._file.write(json.dumps(fields) + "\n")
            self._file.flush()


def run_server(address: str, build: Callable[[], Any], name: str) -> None:
    """Serve until SIGTERM or SIGINT.

    Args:
        address: ``IP:PORT``.
        build: Imports Klein and returns the web resource; called after the
            asyncio reactor is installed, because Klein imports the reactor.
        name: Name in the log.
    """
    from twisted.internet import asyncioreactor

    asyncioreactor.install()
    from twisted.internet import reactor
    from twisted.python import log
    from twisted.web.server import Site

    configure_logging(sys.stderr)
    log.addObserver(_log_unhandled)
    host, port = split_address(address)
    site = Site(build())
    reactor.listenTCP(port, site, backlog=512, interface=host)  # type: ignore
    log_event(LISTENING, name=name, address=address)
    reactor.callWhenRunning(print, "ready", flush=True)  # type: ignore
    reactor.run()  # type: ignore


def _log_unhandled(entry: dict[str, Any]) -> None:
    if entry.get("isError") and "failure" in entry:
        log_event(UNHANDLED, trace=entry["failure"].getTraceback())


def answer_json(request: Any, body: Any, status: int = 200) -> bytes:
    """Set status and type of an answer and return its encoded body."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(body)


def answer_error(request: Any, status: int, code: str, message: str) -> bytes:
    """Answer a request that was refused and did not run."""
    error = {
        "message": message,
        "type": "refusal",
        "code": code,
        "ran": "not_run",
    }
    return answer_json(request, {"error": error}, status)


def reset_connection(request: Any) -> None:
    """Reset the connection of a request; bytes that wait to be sent are lost."""
    request.transport.abortConnection()


def cut_connection(request: Any) -> None:
    """Close the connection of a request after the bytes written so far."""
    request.transport.loseConnection()


def run_periodically(work: Callable[[], None], period_ms: int) -> None:
    """Call ``work`` again and again; an error in it ends the process.

    A stand-in whose work has stopped would look like a stalled endpoint.
    """
    from twisted.internet.task import LoopingCall

    loop = LoopingCall(work)
    loop.start(period_ms / 1000).addErrback(_end_after_error)


def _end_after_error(failure: Any) -> None:
    log_event(UNHANDLED, trace=failure.getTraceback())
    crash("periodic work failed")
