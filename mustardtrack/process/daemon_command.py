"""Command line of the daemon ``mustardtrackd``."""

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from mustardtrack import __version__
from mustardtrack.process.daemon import EXIT_SETTINGS, start_daemon


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
        return start_daemon(path, self.option("log-level"))


def run_command_line(arguments: list[str]) -> int:
    """Run the command given by the arguments and return its exit code."""
    application = Application("mustardtrackd", __version__)
    application.add(RunCommand())
    return application.run(ArgvInput([arguments[0], "run", *arguments[1:]]))
