"""Calls of the operator API from the command line."""

import asyncio
import json
import uuid
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar, cast

from mustardtrack.adapters.endpoint_client import (
    EndpointError,
    EndpointResponse,
    HttpEndpointClient,
)

CALL_TIMEOUT_MS = 8000
ANSWER_LIMIT_BYTES = 67_108_864
ATTEMPT_PAUSE_MS = 300

T = TypeVar("T")


class OperatorError(Exception):
    """The operator API could not be reached or refused the call.

    Attributes:
        body: The refusal as returned by the API, empty if there was no answer.
    """

    def __init__(self, message: str, body: dict[str, Any] | None = None):
        super().__init__(message)
        self.body = body or {}


@dataclass(frozen=True)
class OperatorClient:
    """Client of the operator API.

    Args:
        addresses: ``IP:PORT`` of the processes to ask, in order of preference.
        token: Operator token.
        http: HTTP client of the running reactor.
    """

    addresses: Sequence[str]
    token: str
    http: HttpEndpointClient

    async def execute(
        self, text: str, operator: str, command_id: str = ""
    ) -> dict[str, Any]:
        """Run one command or query.

        A lost answer is asked for again under the same command identity, so the
        command takes effect once.

        Raises:
            OperatorError: If no address answers or the command is refused.
        """
        identity = command_id or str(uuid.uuid4())
        body = {"text": text, "operator": operator, "command_id": identity}
        return await self.post("/operator/command", body)

    async def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Post to the first address that answers; addresses are tried twice."""
        errors = []
        for round_number in range(2):
            for address in self.addresses:
                try:
                    answer = await self._call(address, "POST", path, body)
                except EndpointError as error:
                    errors.append(f"{address}: {error}")
                    continue
                if answer.status != 503:
                    return _decode(answer)
                errors.append(f"{address}: {_message(answer)}")
            await asyncio.sleep((round_number + 1) * ATTEMPT_PAUSE_MS / 1000)
        raise OperatorError(
            "no process answered, check --operators: " + "; ".join(errors[-4:])
        )

    async def status(self) -> list[dict[str, Any]]:
        """Return the status of each address; errors are rows, too."""
        return await asyncio.gather(*map(self._status_of, self.addresses))

    async def _status_of(self, address: str) -> dict[str, Any]:
        try:
            answer = await self._call(address, "GET", "/operator/status", None)
            return {"address": address, **_decode(answer)}
        except (EndpointError, OperatorError) as error:
            return {"address": address, "error": str(error)}

    async def _call(
        self, address: str, method: str, path: str, body: dict[str, Any] | None
    ) -> EndpointResponse:
        headers = {"Authorization": f"Bearer {self.token}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        data = b"" if body is None else json.dumps(body).encode()
        return await self.http.call(
            address, method, path, headers, data, CALL_TIMEOUT_MS, ANSWER_LIMIT_BYTES
        )


def run_with_client(
    addresses: Sequence[str],
    token: str,
    work: Callable[[OperatorClient], Coroutine[Any, Any, T]],
) -> T:
    """Run the reactor until ``work(client)`` has returned.

    The reactor runs once in the life of a process.
    """
    from twisted.internet import reactor as installed_reactor

    reactor = cast(Any, installed_reactor)

    loop = asyncio.get_event_loop()
    results: list[T] = []
    errors: list[BaseException] = []

    async def perform() -> None:
        http = HttpEndpointClient()
        try:
            results.append(await work(OperatorClient(addresses, token, http)))
        except BaseException as error:
            errors.append(error)
        finally:
            await http.close()
            reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(perform(), loop=loop))
    reactor.run()
    if errors:
        raise errors[0]
    return results[0]


def _decode(answer: EndpointResponse) -> dict[str, Any]:
    try:
        body = json.loads(answer.body)
    except ValueError:
        body = {}
    if answer.status >= 400:
        raise OperatorError(_message(answer), body)
    return dict(body)


def _message(answer: EndpointResponse) -> str:
    try:
        error = json.loads(answer.body)["error"]
    except (ValueError, KeyError, TypeError):
        return f"status {answer.status}"
    remedy = error.get("remedy")
    return error["message"] + (f"; {remedy}" if remedy else "")
