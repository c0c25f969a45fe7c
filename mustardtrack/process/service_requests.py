"""Calls of plain services and their transport to an endpoint."""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

from mustardtrack.adapters.http_endpoints import (
    EndpointAnswer,
    EndpointError,
    HttpEndpointClient,
)
from mustardtrack.configuration import Account
from mustardtrack.process.traffic import Traffic
from mustardtrack.routing import Choice

SAFE_METHODS = ("GET", "HEAD")

# Headers that describe one connection, or that the router sets itself.
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True)
class ServiceRequest:
    """Call of a plain service by a caller."""

    account: Account
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    key: str | None

    @property
    def safe(self) -> bool:
        """Whether the call may be repeated."""
        return self.method in SAFE_METHODS

    def digest(self) -> str:
        """Return a digest of what the call would do."""
        parts = (self.service, self.method, self.path)
        digest = blake2b(msgspec.msgpack.encode(parts), digest_size=32)
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True)
class ServiceAnswer:
    """Answer to the caller; ``stored`` if an earlier send produced it."""

    status: int
    content_type: str
    body: bytes
    stored: bool = False


class ServiceSender:
    """Sends calls to the endpoints of plain services.

    Args:
        traffic: Shared state of the router.
        http: Client for endpoints.
    """

    def __init__(self, traffic: Traffic, http: HttpEndpointClient):
        self._traffic = traffic
        self._http = http

    async def send(
        self,
        request: ServiceRequest,
        choice: Choice,
        attempt: str,
        fence: int,
        before_send: Callable[[], None] | None = None,
    ) -> EndpointAnswer:
        """Send one attempt to the chosen endpoint and return its whole answer.

        Args:
            request: The call.
            choice: The chosen endpoint.
            attempt: Attempt id, which the endpoint must echo.
            fence: Fencing token of the claim, 0 for a call that may be repeated.
            before_send: See :meth:`HttpEndpointClient.call`.

        Raises:
            EndpointError: If there is no whole answer.
        """
        endpoint: Any = self._traffic.copy.objects("endpoint").get(choice.endpoint)
        if endpoint is None:
            raise EndpointError("endpoint_removed", may_have_run=False)
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in DROPPED_HEADERS
        }
        headers["Mustardtrack-Attempt"] = attempt
        if fence:
            headers["Mustardtrack-Fence"] = str(fence)
            headers["Idempotency-Key"] = request.key or ""
        return await self._http.call(
            endpoint.address,
            request.method,
            request.path,
            headers,
            request.body,
            self._traffic.settings.timing.service_timeout_ms,
            self._traffic.settings.limits.answer_bytes,
            before_send=before_send,
        )


def convert_answer(answer: EndpointAnswer) -> ServiceAnswer:
    """Return the answer of an endpoint in the form for the caller."""
    content_type = answer.headers.get("content-type", "application/octet-stream")
    return ServiceAnswer(answer.status, content_type, answer.body)
