"""Client of the operator API for the command-line tool."""

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
MAX_RESPONSE_BYTES = 67_108_864
RETRY_DELAY_MS = 300

T = TypeVar("T")


class OperatorError(Exception):
    """The operator API could not be reached or refused the call.

    Attributes:
        body: Error body returned by the API, empty if there was no response.
    """

    def __init__(self, message: str, body: dict[str, Any] | None = None):
        super().__init__(message)
        self.body = body or {}


@dataclass(frozen=True)
class OperatorClient:
    """Client of the operator API.

    Args:
        addresses: ``IP:PORT`` of the processes to call, in order of preference.
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

        After a lost response the call is retried with the same command id, so the
        command takes effect only once.

        Raises:
            OperatorError: If no address responds or the command is refused.
        """
        resolved_id = command_id or str(uuid.uuid4())
        body = {"text": text, "operator": operator, "command_id": resolved_id}
        return await self.post("/operator/command", body)

    async def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Post to the first address that responds; each address is tried twice.

        A response with status 503 counts as no response.
        """
        errors = []
        for attempt in range(2):
            for address in self.addresses:
                try:
                    response = await self._call(address, "POST", path, body)
                except EndpointError as error:
                    errors.append(f"{address}: {error}")
                    continue
                if response.status != 503:
                    return _decode_body(response)
                errors.append(f"{address}: {_error_message(response)}")
            await asyncio.sleep((attempt + 1) * RETRY_DELAY_MS / 1000)
        raise OperatorError(
            "no process answered, check --operators: " + "; ".join(errors[-4:])
        )

    async def status(self) -> list[dict[str, Any]]:
        """Return one status row per address, with ``error`` if the call failed."""
        return await asyncio.gather(*map(self._fetch_status, self.addresses))

    async def _fetch_status(self, address: str) -> dict[str, Any]:
        try:
            response = await self._call(address, "GET", "/operator/status", None)
            return {"address": address, **_decode_body(response)}
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
            address, method, path, headers, data, CALL_TIMEOUT_MS, MAX_RESPONSE_BYTES
        )


def run_with_client(
    addresses: Sequence[str],
    token: str,
    work: Callable[[OperatorClient], Coroutine[Any, Any, T]],
) -> T:
    """Run the reactor until ``work(client)`` has finished and return its result.

    A process can call this only once, because a stopped reactor cannot be restarted.
    """
    from twisted.internet import reactor as installed_reactor

    reactor = cast(Any, installed_reactor)

    loop = asyncio.get_event_loop()
    results: list[T] = []
    errors: list[BaseException] = []

    async def run_work() -> None:
        http = HttpEndpointClient()
        try:
            results.append(await work(OperatorClient(addresses, token, http)))
        except BaseException as error:
            errors.append(error)
        finally:
            await http.close()
            reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run_work(), loop=loop))
    reactor.run()
    if errors:
        raise errors[0]
    return results[0]


def _decode_body(response: EndpointResponse) -> dict[str, Any]:
    try:
        body = json.loads(response.body)
    except ValueError:
        body = {}
    if response.status >= 400:
        raise OperatorError(_error_message(response), body)
    return dict(body)


def _error_message(response: EndpointResponse) -> str:
    try:
        error = json.loads(response.body)["error"]
    except (ValueError, KeyError, TypeError):
        return f"status {response.status}"
    remedy = error.get("remedy")
    return error["message"] + (f"; {remedy}" if remedy else "")
