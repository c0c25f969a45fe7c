"""Entry point of the daemon ``mustardtrackd``."""

import asyncio
import sys
from typing import Any, cast

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from mustardtrack import __version__
from mustardtrack.logs import configure_logging
from mustardtrack.process.lifecycle import DaemonProcess, Lifecycle
from mustardtrack.process.reactor import install_reactor
from mustardtrack.settings import (
    SeededSettings,
    Settings,
    SettingsError,
    load_settings,
)

EXIT_SETTINGS = 2


def create_process(settings: Settings | SeededSettings) -> DaemonProcess:
    """Return the process of the role named in the settings."""
    # The roles import the reactor, which must be installed before.
    if isinstance(settings, SeededSettings):
        return _create_seeded(settings)
    if settings.role == "control":
        from mustardtrack.process.control import ControlProcess

        return ControlProcess(settings)
    from mustardtrack.process.router import RouterProcess

    return RouterProcess(settings)


def _create_seeded(settings: SeededSettings) -> DaemonProcess:
    if settings.role == "control":
        from mustardtrack.process.seeded_control import SeededControlProcess

        return SeededControlProcess(settings)
    from mustardtrack.process.seeded_router import SeededRouterProcess

    return SeededRouterProcess(settings)


class RunCommand(Command):
    """Runs the process that a settings file describes."""

    name = "run"
    description = "run the process that the settings file describes"
    options = [
        option("config", description="settings file (YAML)", flag=False),
        option("log-level", description="DEBUG, INFO, …", flag=False, default="INFO"),
    ]

    def handle(self) -> int:
        """Load the settings and run the reactor until the process stops."""
        path = self.option("config")
        if not path:
            self.line_error("<error>no settings file: give --config FILE</error>")
            return EXIT_SETTINGS
        try:
            settings = load_settings(path)
        except SettingsError as error:
            self.line_error(f"<error>{error}</error>")
            return EXIT_SETTINGS
        # The operators of seeded deployments collect standard output only.
        seeded = isinstance(settings, SeededSettings)
        stream = sys.stdout if seeded else sys.stderr
        configure_logging(stream, level=self.option("log-level"))
        return run_process(settings)


def run_process(settings: Settings | SeededSettings) -> int:
    """Run one process until it stops and return its exit code."""
    install_reactor()
    from twisted.internet import reactor as installed_reactor

    reactor = cast(Any, installed_reactor)
    lifecycle = Lifecycle(create_process(settings), settings.name)
    reactor.callWhenRunning(lambda: asyncio.ensure_future(lifecycle.start()))
    reactor.run(installSignalHandlers=False)
    return lifecycle.exit_code


def main() -> int:
    """Run the daemon's command line and return the exit code."""
    application = Application("mustardtrackd", __version__)
    application.add(RunCommand())
    return application.run(ArgvInput([sys.argv[0], "run", *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
