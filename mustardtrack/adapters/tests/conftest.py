"""Fixture that runs asyncio code on the Twisted reactor in a child process.

A reactor can be started only once in a process, so each run needs a new one.
"""

import subprocess
import sys
import textwrap

import pytest

PRELUDE = """
import asyncio, json, sys
from mustardtrack.process.reactor import install_reactor
install_reactor()
from twisted.internet import reactor
from mustardtrack.adapters.endpoint_client import EndpointError, HttpEndpointClient

def run(main):
    results = []
    async def run_and_stop():
        try:
            results.append(await main())
        finally:
            reactor.stop()
    reactor.callWhenRunning(lambda: asyncio.ensure_future(run_and_stop()))
    reactor.run()
    print(json.dumps(results[0]))
"""


@pytest.fixture
def run_on_reactor():
    """Return a function that runs source code and returns its decoded JSON result."""
    import json

    def run(source: str, *arguments: str):
        completed = subprocess.run(
            [sys.executable, "-c", PRELUDE + textwrap.dedent(source), *arguments],
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert completed.returncode == 0, completed.stderr
        return json.loads(completed.stdout.splitlines()[-1])

    return run
