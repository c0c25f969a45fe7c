"""Stored answers of completed calls."""

from hashlib import blake2b

import msgspec

MAX_STORED_ANSWER_BYTES = 65_536


class Answer(msgspec.Struct, frozen=True):
    """Answer of a completed call.

    Attributes:
        status: HTTP status.
        content_type: Value of the Content-Type header.
        body: The complete body, or empty if ``kept`` is false.
        digest: Hexadecimal BLAKE2b digest of the complete body.
        length: Length of the complete body in bytes.
        kept: Whether ``body`` is stored. If not, the reply to a resend must state
            that the call ran and that its body was too large to store.
    """

    status: int
    content_type: str
    body: bytes
    digest: str
    length: int
    kept: bool = True


def build_stored_answer(
    status: int,
    content_type: str,
    body: bytes,
    limit_bytes: int = MAX_STORED_ANSWER_BYTES,
) -> Answer:
    """Build the stored form of a response.

    A body larger than ``limit_bytes`` or ``MAX_STORED_ANSWER_BYTES`` is replaced by
    its digest and length.

    Examples:
        >>> build_stored_answer(200, "text/plain", b"x" * 70_000).kept
        False
    """
    digest = blake2b(body, digest_size=32).hexdigest()
    kept = len(body) <= min(limit_bytes, MAX_STORED_ANSWER_BYTES)
    return Answer(status, content_type, body if kept else b"", digest, len(body), kept)


def limit_answer(answer: Answer) -> Answer:
    """Drop the body of an answer if it exceeds the limit of the replicated state."""
    if len(answer.body) <= MAX_STORED_ANSWER_BYTES:
        return answer
    return msgspec.structs.replace(answer, body=b"", kept=False)
