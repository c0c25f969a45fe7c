"""Calls of plain services and their transport to endpoints."""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

from mustardtrack.adapters.endpoint_client import (
    EndpointError,
    EndpointResponse,
    HttpEndpointClient,
)
from mustardtrack.configuration import Account
from mustardtrack.process.shared_state import SharedState
from mustardtrack.routing import Choice

SAFE_METHODS = ("GET", "HEAD")

# Hop-by-hop headers, and headers that the router sets or consumes.
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
    idempotency_key: str | None

    @property
    def safe(self) -> bool:
        """Whether the method is safe, so that the call may be repeated."""
        return self.method in SAFE_METHODS

    def digest(self) -> str:
        """Return a digest of the service, method, path and body."""
        parts = (self.service, self.method, self.path)
        digest = blake2b(msgspec.msgpack.encode(parts), digest_size=32)
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True)
class ServiceAnswer:
    """Answer to the caller; ``stored`` if it was stored by an earlier request."""

    status: int
    content_type: str
    body: bytes
    stored: bool = False


class ServiceSender:
    """Sends calls to the endpoints of plain services.

    Args:
        shared: State shared by the requests of this router.
        http: Client for endpoints.
    """

    def __init__(self, shared: SharedState, http: HttpEndpointClient):
        self._shared = shared
        self._http = http

    async def send(
        self,
        request: ServiceRequest,
        choice: Choice,
        attempt_id: str,
        fence: int,
        before_send: Callable[[], None] | None = None,
    ) -> EndpointResponse:
        """Send one attempt to the chosen endpoint and return its complete answer.

        Args:
            request: Call to send.
            choice: Chosen endpoint.
            attempt_id: Attempt id, which the endpoint must echo.
            fence: Fencing token of the claim, 0 for a call that may be repeated.
            before_send: See :meth:`HttpEndpointClient.call`.

        Raises:
            EndpointError: If there is no complete answer.
        """
        endpoint: Any = self._shared.configuration.objects("endpoint").get(
            choice.endpoint
        )
        if endpoint is None:
            raise EndpointError("endpoint_removed", may_have_run=False)
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in DROPPED_HEADERS
        }
        headers["Mustardtrack-Attempt"] = attempt_id
        if fence:
            headers["Mustardtrack-Fence"] = str(fence)
            headers["Idempotency-Key"] = request.idempotency_key or ""
        return await self._http.call(
            endpoint.address,
            request.method,
            request.path,
            headers,
            request.body,
            self._shared.settings.timing.service_timeout_ms,
            self._shared.settings.limits.answer_bytes,
            before_send=before_send,
        )


def convert_answer(answer: EndpointResponse) -> ServiceAnswer:
    """Return the answer of an endpoint as an answer to the caller."""
    content_type = answer.headers.get("content-type", "application/octet-stream")
    return ServiceAnswer(answer.status, content_type, answer.body)
