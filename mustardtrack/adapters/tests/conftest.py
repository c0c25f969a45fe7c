"""Runs asyncio scenarios on the Twisted reactor in a process of their own.

A reactor runs once in the life of a process, so each scenario gets a child process.
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
from mustardtrack.adapters.http_endpoints import EndpointError, HttpEndpointClient

def run(main):
    results = []
    async def perform():
        try:
            results.append(await main())
        finally:
            reactor.stop()
    reactor.callWhenRunning(lambda: asyncio.ensure_future(perform()))
    reactor.run()
    print(json.dumps(results[0]))
"""


@pytest.fixture
def run_on_reactor():
    """Return a function that runs source text and returns its decoded output."""
    import json

    def run(source: str, *arguments: str):
        done = subprocess.run(
            [sys.executable, "-c", PRELUDE + textwrap.dedent(source), *arguments],
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 0, done.stderr
        return json.loads(done.stdout.splitlines()[-1])

    return run
