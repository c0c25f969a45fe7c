"""Entry point of the daemon ``mustardtrackd``."""

import asyncio
import sys
from typing import TYPE_CHECKING, Any, cast

from mustardtrack.logs import configure_logging
from mustardtrack.logs.rate_limited_writer import RateLimitedWriter
from mustardtrack.process.lifecycle import DaemonProcess, Lifecycle
from mustardtrack.process.reactor import install_reactor
from mustardtrack.settings import SeededSettings, SettingsError, load_settings

if TYPE_CHECKING:
    from mustardtrack.settings import Settings

EXIT_SETTINGS = 2


def create_process(settings: "Settings | SeededSettings", path: str) -> DaemonProcess:
    """Create the process for the role given in the settings."""
    # Imported here: these modules import the reactor, which must be installed first.
    if isinstance(settings, SeededSettings):
        return _create_seeded(settings, path)
    if settings.role == "control":
        from mustardtrack.process.control import ControlProcess

        return ControlProcess(settings)
    from mustardtrack.process.router import RouterProcess

    return RouterProcess(settings)


def _create_seeded(settings: SeededSettings, path: str) -> DaemonProcess:
    if settings.role == "control":
        from mustardtrack.process.seeded_control import SeededControlProcess

        return SeededControlProcess(settings, path)
    from mustardtrack.process.seeded_router import SeededRouterProcess

    return SeededRouterProcess(settings, path)


def start_daemon(path: str, level: str = "INFO") -> int:
    """Run the process that a settings file describes and return its exit code."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    # Operators of seeded deployments collect only standard output.
    if isinstance(settings, SeededSettings):
        configure_logging(RateLimitedWriter(sys.stdout.fileno()), level=level)
    else:
        configure_logging(sys.stderr, level=level)
    return run_process(settings, path)


def run_process(settings: "Settings | SeededSettings", path: str) -> int:
    """Run one process until it stops and return its exit code."""
    install_reactor()
    from twisted.internet import reactor as installed_reactor

    reactor = cast(Any, installed_reactor)
    lifecycle = Lifecycle(create_process(settings, path), settings.name)
    reactor.callWhenRunning(lambda: asyncio.ensure_future(lifecycle.start()))
    reactor.run(installSignalHandlers=False)
    return lifecycle.exit_code


def main() -> int:
    """Run the daemon's command line and return the exit code."""
    if len(sys.argv) == 3 and sys.argv[1] == "--config":
        # The usual call avoids importing the command-line library, which would add
        # a tenth of a second to every restart.
        return start_daemon(sys.argv[2])
    from mustardtrack.process.daemon_command import run_command_line

    return run_command_line(sys.argv)


if __name__ == "__main__":
    sys.exit(main())
