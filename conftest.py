"""Pytest configuration: hypothesis profiles, and failing tests of KNOWN-RED.txt."""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile("explore", deadline=None)
settings.register_profile("fuzz", deadline=None, database=None, max_examples=50_000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def read_known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


# Before other plugins deselect tests, so that all collected tests are known here.
@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests listed in KNOWN-RED.txt.

    Raises:
        pytest.UsageError: If the whole suite is collected and a listed test does
            not exist.
    """
    known = read_known_red()
    listed = [item for item in items if item.nodeid in known]
    is_full_run = not config.args or config.args == config.getini("testpaths")
    missing = known.keys() - {item.nodeid for item in listed}
    if is_full_run and missing:
        raise pytest.UsageError(f"KNOWN-RED.txt lists unknown tests: {sorted(missing)}")
    if listed:
        config.hook.pytest_deselected(items=listed)
        items[:] = [item for item in items if item not in listed]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the entries of KNOWN-RED.txt, also in quiet mode."""
    for entry in read_known_red().values():
        terminalreporter.write_line(f"known red: {entry}")
