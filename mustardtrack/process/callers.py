"""Parsing of completion requests and formatting of their responses."""

import asyncio
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.interfaces import IPushProducer
from twisted.web.server import Request
from zope.interface import implementer

from mustardtrack.requests import Refusal

CHARS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256


class InvalidRequestError(Exception):
    """Malformed request; the message names the field."""


class Message(msgspec.Struct):
    """One message of a chat request."""

    role: str
    content: str


class CompletionBody(msgspec.Struct):
    """Fields of a completion or chat request that the router reads.

    Other fields of the protocol are accepted and ignored.
    """

    model: str
    prompt: str | list[str] = ""
    messages: list[Message] = []
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False


@dataclass(frozen=True)
class ParsedCompletion:
    """Validated completion request.

    Attributes:
        levels: Consecutive sections of the prompt, outermost first, such as the
            messages of a chat; their concatenation is the prompt.
    """

    model: str
    levels: tuple[str, ...]
    max_tokens: int
    stream: bool
    chat: bool

    @property
    def prompt(self) -> str:
        """The whole prompt."""
        return "".join(self.levels)

    @property
    def prompt_tokens(self) -> int:
        """Estimated prompt length in tokens."""
        chars = sum(len(level) for level in self.levels)
        return max(1, chars // CHARS_PER_TOKEN)


_DECODER = msgspec.json.Decoder(CompletionBody)


def parse_completion(data: bytes, chat: bool, output_limit: int) -> ParsedCompletion:
    r"""Parse the body of a completion or chat request.

    A list of prompts is interpreted as the consecutive levels of one prompt.

    Args:
        data: JSON body.
        chat: Whether the body has messages instead of a prompt.
        output_limit: Largest number of output tokens.

    Raises:
        InvalidRequestError: If the body is malformed or a value is out of range.

    Examples:
        >>> body = b'{"model": "m", "messages": [{"role": "user", "content": "Hi"}]}'
        >>> parse_completion(body, chat=True, output_limit=10).levels
        ('user: Hi\n',)
    """
    try:
        body = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRequestError(str(error)) from error
    levels = _prompt_levels(body, chat)
    if not any(levels):
        raise InvalidRequestError("messages is empty" if chat else "prompt is empty")
    tokens = body.max_completion_tokens or body.max_tokens
    if tokens is None:
        tokens = min(DEFAULT_OUTPUT_TOKENS, output_limit)
    if not 0 < tokens <= output_limit:
        raise InvalidRequestError(f"max_tokens must be from 1 to {output_limit}")
    return ParsedCompletion(body.model, levels, tokens, body.stream, chat)


def _prompt_levels(body: CompletionBody, chat: bool) -> tuple[str, ...]:
    if chat:
        return tuple(
            f"{message.role}: {message.content}\n" for message in body.messages
        )
    if isinstance(body.prompt, str):
        return (body.prompt,)
    return tuple(body.prompt)


class SlowCallerError(Exception):
    """The caller read its response too slowly."""


class ResponseWriter(ABC):
    """Writes the response to one completion request."""

    @abstractmethod
    async def write_piece(self, piece: int, text: str) -> None:
        """Send one piece and wait until the connection is writable again.

        Raises:
            SlowCallerError: If the connection stays unwritable for too long.
        """

    @abstractmethod
    def finish(self, piece_count: int, usage: dict[str, int]) -> bytes:
        """End a complete response and return the rest of the body."""

    @abstractmethod
    def refuse(self, refusal: Refusal, detail: str = "") -> bytes:
        """End the response with a refusal and return the rest of the body."""


@implementer(IPushProducer)
class _FlowControl:
    """Tracks whether the caller's connection accepts more data."""

    def __init__(self) -> None:
        self.writable = asyncio.Event()
        self.writable.set()

    def pauseProducing(self) -> None:  # noqa: N802 (Twisted)
        self.writable.clear()

    def resumeProducing(self) -> None:  # noqa: N802 (Twisted)
        self.writable.set()

    def stopProducing(self) -> None:  # noqa: N802 (Twisted)
        self.writable.set()


class ResponseFormatter:
    """Bodies in the shape of the completions and chat protocols.

    Args:
        request_id: Identity of the request.
        completion: The request.
    """

    def __init__(self, request_id: str, completion: ParsedCompletion):
        self._chat = completion.chat
        kind = "chatcmpl" if completion.chat else "cmpl"
        self._common_fields = {
            "id": f"{kind}-{request_id}",
            "created": int(time.time()),
            "model": completion.model,
        }

    def chunk(
        self, text: str, finish_reason: str | None, fields: dict[str, Any]
    ) -> bytes:
        """Return one server-sent event."""
        if self._chat:
            delta = {"role": "assistant", "content": text} if text else {}
            choice: dict[str, Any] = {"index": 0, "delta": delta}
            name = "chat.completion.chunk"
        else:
            choice = {"index": 0, "text": text}
            name = "text_completion"
        choice["finish_reason"] = finish_reason
        body = {**self._common_fields, "object": name, "choices": [choice], **fields}
        return b"data: " + msgspec.json.encode(body) + b"\n\n"

    def complete_body(self, text: str, usage: dict[str, int]) -> bytes:
        """Return the complete body of a response that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
            name = "chat.completion"
        else:
            choice["text"] = text
            name = "text_completion"
        body = {
            **self._common_fields,
            "object": name,
            "choices": [choice],
            "usage": usage,
        }
        return msgspec.json.encode(body)


class StreamWriter(ResponseWriter):
    """Streams pieces as server-sent events.

    Args:
        request: HTTP request.
        formatter: Formatter of the bodies.
        max_stall_ms: Longest time for which the connection may be unwritable.
    """

    def __init__(
        self, request: Request, formatter: ResponseFormatter, max_stall_ms: int
    ):
        self._request = request
        self._formatter = formatter
        self._max_stall_ms = max_stall_ms
        self._flow_control = _FlowControl()
        self._started = False

    async def write_piece(self, piece: int, text: str) -> None:
        """Send one piece as an event that carries its number."""
        if not self._started:
            self._start()
        self._request.write(self._formatter.chunk(text, None, {"piece": piece}))
        if self._flow_control.writable.is_set():
            return
        try:
            async with asyncio.timeout(self._max_stall_ms / 1000):
                await self._flow_control.writable.wait()
        except TimeoutError as error:
            raise SlowCallerError from error

    def finish(self, piece_count: int, usage: dict[str, int]) -> bytes:
        """Send the final marker with the number of pieces."""
        if not self._started:
            self._start()
        fields = {"piece_count": piece_count, "usage": usage}
        self._request.write(self._formatter.chunk("", "stop", fields))
        return self._end(b"data: [DONE]\n\n")

    def refuse(self, refusal: Refusal, detail: str = "") -> bytes:
        """Send the refusal as an HTTP status, or as an event after the first piece."""
        body = msgspec.json.encode(refusal.to_body(detail))
        if not self._started:
            return write_refusal(self._request, refusal, detail)
        return self._end(b"data: " + body + b"\n\n")

    def _start(self) -> None:
        self._started = True
        self._request.setHeader("Content-Type", "text/event-stream")
        self._request.setHeader("Cache-Control", "no-store")
        self._request.registerProducer(self._flow_control, True)

    def _end(self, data: bytes) -> bytes:
        self._request.write(data)
        self._request.unregisterProducer()
        return b""


class BufferedWriter(ResponseWriter):
    """Buffers the pieces and sends the complete response at the end."""

    def __init__(self, request: Request, formatter: ResponseFormatter):
        self._request = request
        self._formatter = formatter
        self._texts: list[str] = []

    async def write_piece(self, piece: int, text: str) -> None:
        """Buffer one piece."""
        self._texts.append(text)

    def finish(self, piece_count: int, usage: dict[str, int]) -> bytes:
        """Return the complete body."""
        self._request.setHeader("Content-Type", "application/json")
        return self._formatter.complete_body("".join(self._texts), usage)

    def refuse(self, refusal: Refusal, detail: str = "") -> bytes:
        """Return the body of the refusal."""
        return write_refusal(self._request, refusal, detail)


def write_refusal(request: Request, refusal: Refusal, detail: str = "") -> bytes:
    """Set status and headers of a refusal and return its body."""
    request.setResponseCode(refusal.http_status)
    request.setHeader("Content-Type", "application/json")
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        request.setHeader("Retry-After", str(seconds))
    return msgspec.json.encode(refusal.to_body(detail))
