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
    """Send a request and return its connection and the started answer.

    Args:
        address: ``IP:PORT``.
        method: HTTP method.
        path: Path and query.
        body: Bytes are sent as they are, other values as JSON.
        headers: Further headers.
        timeout_s: Limit for each read, in seconds.
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
    """Send a request and return status, decoded body and headers of the answer.

    JSON bodies are decoded; others are returned as bytes.
    """
    connection, answer = open_request(address, method, path, body, headers, timeout_s)
    try:
        data = answer.read()
        kind = answer.headers.get("Content-Type", "")
        decoded = json.loads(data) if kind.startswith("application/json") else data
        return answer.status, decoded, dict(answer.headers)
    finally:
        connection.close()


def read_stream(
    address: str,
    path: str,
    body: Any,
    headers: Headers = None,
    timeout_s: float = 10.0,
) -> Iterator[dict[str, Any]]:
    """Send a request and yield the server-sent events of its answer.

    The last event of a complete stream is ``{"done": True}``. Closing the
    iterator closes the connection.

    Raises:
        RuntimeError: If the status is not 200.
        ConnectionError: If the stream is cut within a line.
    """
    connection, answer = open_request(address, "POST", path, body, headers, timeout_s)
    try:
        if answer.status != 200:
            raise RuntimeError(f"status {answer.status}: {answer.read()!r}")
        for line in answer:
            if not line.endswith(b"\n"):
                raise ConnectionError("the stream was cut within a line")
            if line.startswith(b"data: [DONE]"):
                yield {"done": True}
            elif line.startswith(b"data: "):
                yield json.loads(line[6:])
    finally:
        connection.close()
