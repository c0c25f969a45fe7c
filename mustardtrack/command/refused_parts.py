"""Command that lists and releases prompt parts that crash engines."""

import json
from http.client import HTTPConnection, HTTPException
from urllib.parse import quote

from cleo.commands.command import Command
from cleo.helpers import argument, option

from mustardtrack.settings import split_address

TARGET = "/v1/refused-parts"
TIMEOUT_S = 3.0
EXIT_OK, EXIT_FAILED, EXIT_UNREACHABLE = 0, 1, 3


class RefusedPartsCommand(Command):
    """Lists the refused prompt parts, or releases one."""

    name = "refused-parts"
    description = "list the prompt parts that crash engines, or release one"
    arguments = [argument("control", description="operator address of a control host")]
    options = [option("release", description="part to release", flag=False)]

    def handle(self) -> int:
        """Call the control host; exit with 3 if it does not answer."""
        part = self.option("release")
        method = "DELETE" if part else "GET"
        target = f"{TARGET}?part={quote(part)}" if part else TARGET
        control = self.argument("control")
        try:
            status, body = call_control(control, method, target)
        except (OSError, HTTPException, ValueError) as error:
            message = f"{control} does not answer ({error}): name another control host"
            self.line_error(f"<error>{message}</error>")
            return EXIT_UNREACHABLE
        if status != 200:
            self.line_error(f"<error>status {status}: {body}</error>")
            return EXIT_FAILED
        for refusal in json.loads(body).get("refused", []):
            age_s = refusal["last_crash_age_ms"] / 1000
            parts = " ".join(refusal["parts"])
            self.line(f"{parts}  crashes={refusal['crashes']} last={age_s:.0f}s ago")
        return EXIT_OK


def call_control(address: str, method: str, target: str) -> tuple[int, str]:
    """Return the status and the body of a call to a control host."""
    host, port = split_address(address)
    connection = HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request(method, target)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()
