"""Command-line application ``mustardtrack``."""

import getpass
import json
import os
import sys
import uuid
from pathlib import Path
from typing import Any

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from mustardtrack import __version__
from mustardtrack.command.refused_parts import RefusedPartsCommand
from mustardtrack.process.reactor import install_reactor
from mustardtrack.settings import SettingsError, load_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

TOKEN_VARIABLE = "MUSTARDTRACK_OPERATOR_TOKEN"  # noqa: S105 (a variable's name)
ADDRESS_VARIABLE = "MUSTARDTRACK_OPERATORS"

CONNECTION_OPTIONS = [
    option(
        "operators",
        description="comma-separated operator addresses IP:PORT "
        f"(or {ADDRESS_VARIABLE})",
        flag=False,
    ),
    option(
        "token-file",
        description=f"file that holds the operator token (or {TOKEN_VARIABLE})",
        flag=False,
    ),
    option("json", description="print JSON"),
]


class OperatorApiCommand(Command):
    """Base class of the commands that call the operator API."""

    def call_api(self, work: Any) -> Any:
        """Run ``work(client)`` on the operator API and return its result.

        Raises:
            UsageError: If no address or token is given.
        """
        from mustardtrack.command.client import run_with_client

        addresses = self.option("operators") or os.environ.get(ADDRESS_VARIABLE, "")
        if not addresses:
            raise UsageError(
                f"no operator address: give --operators or set {ADDRESS_VARIABLE}"
            )
        return run_with_client(addresses.split(","), self._read_token(), work)

    def _read_token(self) -> str:
        path = self.option("token-file")
        if path:
            try:
                return Path(path).read_text(encoding="utf-8").strip()
            except OSError as error:
                raise UsageError(f"{path}: {error.strerror}") from error
        token = os.environ.get(TOKEN_VARIABLE, "")
        if not token:
            raise UsageError(
                f"no operator token: give --token-file or set {TOKEN_VARIABLE}"
            )
        return token

    def handle(self) -> int:
        """Run the command and map errors to exit codes."""
        from mustardtrack.command.client import OperatorError

        try:
            return self.run_call()
        except UsageError as error:
            self.line_error(f"<error>{error}</error>")
            return EXIT_USAGE
        except OperatorError as error:
            if self.option("json") and error.body:
                self.line(json.dumps(error.body))
            self.line_error(f"<error>{error}</error>")
            return EXIT_FAILED if error.body else EXIT_UNREACHABLE

    def run_call(self) -> int:
        """Call the operator API and return the exit code; each command overrides it."""
        raise NotImplementedError

    def print_response(self, response: dict[str, Any]) -> None:
        """Print a response as JSON or as text."""
        if self.option("json"):
            self.line(json.dumps(response))
            return
        self.write(response.get("text") or json.dumps(response, indent=2))
        self.line("")


class UsageError(Exception):
    """An argument or option is missing or invalid; the message names the remedy."""


class QueryCommand(OperatorApiCommand):
    """Runs one query and prints its rows."""

    name = "query"
    description = "run one query, such as 'show endpoints where zone = sofia-a'"
    arguments = [argument("text", description="the query")]
    options = CONNECTION_OPTIONS

    def run_call(self) -> int:
        """Run the query and print its rows."""
        text = self.argument("text")
        response = self.call_api(lambda client: client.execute(text, getpass.getuser()))
        self.print_response(response)
        return EXIT_OK


class ApplyCommand(OperatorApiCommand):
    """Applies commands from a file or from the command line."""

    name = "apply"
    description = "apply one command, or each line of a file given as @FILE"
    arguments = [
        argument("text", description="a command, @FILE, or - for standard input")
    ]
    options = [
        *CONNECTION_OPTIONS,
        option(
            "command-id",
            description="id of an earlier run, to retry it after a lost response",
            flag=False,
        ),
    ]

    def run_call(self) -> int:
        """Apply the commands in order and stop at the first that is refused.

        A run whose response was lost can be retried with the printed command id;
        commands that were already applied are not applied again.
        """
        commands = _read_commands(self.argument("text"))
        run_id = self.option("command-id") or str(uuid.uuid4())
        progress = self.progress_bar(len(commands)) if len(commands) > 20 else None

        async def apply_all(client: Any) -> list[dict[str, Any]]:
            responses = []
            for number, command in enumerate(commands):
                command_id = f"{run_id}-{number}"
                responses.append(
                    await client.execute(command, getpass.getuser(), command_id)
                )
                if progress is not None:
                    progress.advance()
            return responses

        try:
            responses = self.call_api(apply_all)
        except Exception:
            self.line_error(f"to retry, add: --command-id {run_id}")
            raise
        if progress is not None:
            progress.finish()
            self.line("")
        for response in responses:
            self.print_response(response)
        return EXIT_OK


class StatusCommand(OperatorApiCommand):
    """Prints the status of each process."""

    name = "status"
    description = "show the status of each process given by --operators"
    options = CONNECTION_OPTIONS

    def run_call(self) -> int:
        """Print one row per process; exit with 1 if a process did not respond."""
        rows = self.call_api(lambda client: client.status())
        if self.option("json"):
            self.line(json.dumps(rows))
        else:
            for row in rows:
                self.line("  ".join(f"{key}={value}" for key, value in row.items()))
        return EXIT_FAILED if any("error" in row for row in rows) else EXIT_OK


class ReportCommand(OperatorApiCommand):
    """Writes a report on the service statistics of the routers."""

    name = "report"
    description = "write a report on the service statistics of the given routers"
    options = [
        *CONNECTION_OPTIONS,
        option("output", description="file to write (default: print)", flag=False),
    ]

    def run_call(self) -> int:
        """Fetch the status of each process and write the report."""
        from mustardtrack.command.report import render_report

        statuses = self.call_api(lambda client: client.status())
        report = (
            json.dumps(statuses) if self.option("json") else render_report(statuses)
        )
        path = self.option("output")
        if not path:
            self.line(report, style=None)
            return EXIT_OK
        try:
            Path(path).write_text(report, encoding="utf-8")
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}") from error
        return EXIT_OK


class FormCommand(OperatorApiCommand):
    """Forms the control group; done once per deployment."""

    name = "form"
    description = "form the control group from empty replicas; once per deployment"
    options = CONNECTION_OPTIONS

    def run_call(self) -> int:
        """Form the group and print its voters."""
        self.print_response(
            self.call_api(lambda client: client.post("/operator/form", {}))
        )
        return EXIT_OK


class CheckConfigCommand(Command):
    """Validates settings files without starting a process."""

    name = "check-config"
    description = "check settings files"
    arguments = [argument("files", description="settings files", multiple=True)]

    def handle(self) -> int:
        """Validate each file; exit with 1 if any file is invalid."""
        code = EXIT_OK
        for path in self.argument("files"):
            try:
                settings = load_settings(path)
                self.line(f"{path}: valid, {settings.role} {settings.name}")
            except SettingsError as error:
                self.line_error(f"<error>{error}</error>")
                code = EXIT_FAILED
        return code


class ExplainCommand(Command):
    """Reconstructs the timeline of one request from log files."""

    name = "explain"
    description = "show the timeline of a request from the logs of all processes"
    arguments = [
        argument("request", description="request id that the caller sent"),
        argument("logs", description="log files", multiple=True),
    ]

    def handle(self) -> int:
        """Print the timeline of the request; exit with 1 if no log contains it."""
        from mustardtrack.command.request_timeline import explain_request, read_log

        lines = []
        for path in self.argument("logs"):
            try:
                content = Path(path).read_text(encoding="utf-8", errors="replace")
            except OSError as error:
                self.line_error(f"<error>{path}: {error.strerror}</error>")
                return EXIT_USAGE
            lines += read_log(Path(path).stem, content.splitlines())
        request_id = self.argument("request")
        timeline = explain_request(request_id, lines)
        if not timeline:
            self.line_error(
                f"<error>request {request_id} is in none of the logs: give the router "
                "logs of that time and check them for 'log lines left out'</error>"
            )
            return EXIT_FAILED
        for text in timeline:
            self.line(text, style=None)
        return EXIT_OK


class VersionCommand(Command):
    """Prints the version."""

    name = "version"
    description = "print the version"

    def handle(self) -> int:
        """Print the version."""
        self.line(__version__)
        return EXIT_OK


def _read_commands(text: str) -> list[str]:
    if text == "-":
        lines = sys.stdin.read().splitlines()
    elif text.startswith("@"):
        try:
            lines = Path(text[1:]).read_text(encoding="utf-8").splitlines()
        except OSError as error:
            raise UsageError(f"{text[1:]}: {error.strerror}") from error
    else:
        lines = [text]
    stripped = (line.strip() for line in lines)
    return [line for line in stripped if line and not line.startswith("#")]


def create_application() -> Application:
    """Return the application with all commands."""
    application = Application("mustardtrack", __version__)
    for command in (
        QueryCommand(),
        ApplyCommand(),
        StatusCommand(),
        FormCommand(),
        ReportCommand(),
        CheckConfigCommand(),
        ExplainCommand(),
        RefusedPartsCommand(),
        VersionCommand(),
    ):
        application.add(command)
    return application


def main() -> int:
    """Run the command line and return the exit code."""
    install_reactor()
    return create_application().run()
