"""Blocking HTTP client for tests and scripts."""

import json
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPResponse
from typing import Any

from mustardtrack.settings.models import split_address

Headers = dict[str, str] | None


def open_request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: Headers = None,
    timeout_s: float = 10.0,
) -> tuple[HTTPConnection, HTTPResponse]:
    """Send a request and return the connection and the unread response.

    Args:
        address: ``IP:PORT``.
        method: HTTP method.
        path: Path and query.
        body: Bytes are sent unchanged; other values are encoded as JSON.
        headers: Additional headers.
        timeout_s: Socket timeout in seconds, applied to each read.
    """
    host, port = split_address(address)
    connection = HTTPConnection(host, port, timeout=timeout_s)
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    connection.request(method, path, body, headers or {})
    return connection, connection.getresponse()


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: Headers = None,
    timeout_s: float = 10.0,
) -> tuple[int, Any, dict[str, str]]:
    """Send a request and return status, decoded body and headers of the response.

    JSON bodies are decoded; other bodies are returned as bytes.
    """
    connection, response = open_request(address, method, path, body, headers, timeout_s)
    try:
        data = response.read()
        content_type = response.headers.get("Content-Type", "")
        decoded = (
            json.loads(data) if content_type.startswith("application/json") else data
        )
        return response.status, decoded, dict(response.headers)
    finally:
        connection.close()


def read_stream(
    address: str,
    path: str,
    body: Any,
    headers: Headers = None,
    timeout_s: float = 10.0,
) -> Iterator[dict[str, Any]]:
    """Send a request and yield the server-sent events of the response.

    The last event of a complete stream is ``{"done": True}``. Closing the
    iterator closes the connection.

    Raises:
        RuntimeError: If the status is not 200.
        ConnectionError: If the connection closes in the middle of a line.
    """
    connection, response = open_request(address, "POST", path, body, headers, timeout_s)
    try:
        if response.status != 200:
            raise RuntimeError(f"HTTP status {response.status}: {response.read()!r}")
        for line in response:
            if not line.endswith(b"\n"):
                raise ConnectionError(
                    "connection closed in the middle of an event-stream line"
                )
            if line.startswith(b"data: [DONE]"):
                yield {"done": True}
            elif line.startswith(b"data: "):
                yield json.loads(line[6:])
    finally:
        connection.close()
