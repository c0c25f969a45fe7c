"""State and errors of completion requests in a router."""

from dataclasses import dataclass, field
from typing import Any

from mustardtrack.adapters.endpoint_client import Chunk
from mustardtrack.configuration import Account, Model
from mustardtrack.process.callers import ParsedCompletion
from mustardtrack.process.shared_state import ExpectedError
from mustardtrack.requests import Attempt, Refusal, StreamAssembler
from mustardtrack.routing import RouteRequest, Salt


class RefusedError(ExpectedError):
    """The request is answered with a refusal."""

    def __init__(self, refusal: Refusal, detail: str = ""):
        super().__init__(refusal.reason)
        self.refusal = refusal
        self.detail = detail


class AttemptFailedError(Exception):
    """An attempt failed; a retry may follow.

    Attributes:
        reason: Name in the counter ``retry.<reason>``.
        refusal_reason: Reason of the refusal if there is no retry.
        may_have_run: False only if the endpoint cannot have run the attempt.
    """

    def __init__(self, reason: str, refusal_reason: str, may_have_run: bool = True):
        super().__init__(reason)
        self.reason = reason
        self.refusal_reason = refusal_reason
        self.may_have_run = may_have_run


@dataclass
class CompletionJob:
    """One completion request in the router.

    Attributes:
        arrived_ms: Monotonic time of arrival.
        deadline_ms: Monotonic time by which the first token is due.
        chain: Prefix digests of the prompt pieces.
        level_ends: Piece count at the end of each prompt level.
        fingerprint: Digest by which crashes of endpoints are counted.
        dispatched: Whether an attempt has been started.
        excluded: Endpoints that have failed the request.
    """

    request_id: str
    account: Account
    class_name: str
    arrived_ms: int
    deadline_ms: int
    completion: ParsedCompletion
    model: Model
    chain: tuple[int, ...]
    level_ends: tuple[int, ...]
    salt: Salt
    fingerprint: str
    assembler: StreamAssembler
    dispatched: bool = False
    attempts: int = 0
    excluded: set[str] = field(default_factory=set)
    priority: int = 0

    def route_request(self, zone: str, suspect: bool) -> RouteRequest:
        """Return the request as input of the endpoint selector."""
        return RouteRequest(
            request_id=self.request_id,
            account=self.account.name,
            class_name=self.class_name,
            rank=self.priority,
            chain=self.chain,
            prompt_tokens=self.completion.prompt_tokens,
            max_tokens=self.completion.max_tokens,
            deadline_ms=self.deadline_ms,
            zone=zone,
            level_ends=self.level_ends,
            attempt=self.attempts + 1,
            excluded=frozenset(self.excluded),
            suspect=suspect,
        )

    def engine_body(self, attempt: Attempt, piece_chars: int) -> dict[str, Any]:
        """Return the JSON fields that an attempt sends to an engine.

        Args:
            attempt: Attempt to send.
            piece_chars: Characters in a piece, as used for ``chain``.
        """
        completion = self.completion
        ends = []
        total = 0
        for level in completion.levels:
            for start in range(0, len(level), piece_chars):
                ends.append(total + min(len(level), start + piece_chars))
            total += len(level)
        return {
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": True,
            "request_id": self.request_id,
            "attempt_id": attempt.attempt_id,
            "cache_salt": self.salt.cache_salt(),
            "weights_version": self.model.weights_version,
            "priority": self.priority,
            "resume_from": self.assembler.next_piece,
            "prefix_digests": [f"{digest:032x}" for digest in self.chain],
            "prefix_ends": ends,
        }

    def usage(self, last: Chunk) -> dict[str, int]:
        """Return the usage fields of an answer, given its last chunk."""
        prompt_tokens = self.completion.prompt_tokens
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.assembler.next_piece,
            "total_tokens": prompt_tokens + self.assembler.next_piece,
            "cached_tokens": last.cached_tokens or 0,
        }
