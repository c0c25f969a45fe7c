"""Refusals of requests.

``ran`` applies only to the request that is refused, not to earlier sends with the
same idempotency key. The remedies for non-idempotent calls therefore tell the caller
to resend with the same key.
"""

from dataclasses import dataclass
from typing import Any

from mustardtrack.logs import define_event, require_invariant
from mustardtrack.requests.reasons import REASONS, RunStatus

NOT_RUN_AFTER_DISPATCH = define_event(
    7001, "ERROR", "refusal reports not_run after bytes may have reached an endpoint"
)


class UnknownReasonError(KeyError):
    """The reason code is not in ``REASONS``."""


@dataclass(frozen=True)
class Refusal:
    """Error response to a request that is not served."""

    reason: str
    ran: RunStatus
    retry_after_ms: int | None
    remedy: str

    @property
    def http_status(self) -> int:
        """Status of the HTTP reply."""
        return REASONS[self.reason].http_status

    @property
    def counter(self) -> str:
        """Name of the counter for this reason."""
        return f"refusal.{self.reason}"

    def to_body(self, detail: str = "") -> dict[str, Any]:
        """Return the JSON body of the reply.

        Args:
            detail: Details of this request, appended to the message.
        """
        message = REASONS[self.reason].message
        error = {
            "message": f"{message} {detail}".strip(),
            "type": "refusal",
            "code": self.reason,
            "ran": self.ran,
            "retry_after_ms": self.retry_after_ms,
            "remedy": self.remedy,
        }
        return {"error": error}


def refuse(
    reason: str,
    *,
    dispatched: bool,
    retry_after_ms: int | None = None,
    remedy: str | None = None,
) -> Refusal:
    """Create a refusal from its row in ``REASONS``.

    Args:
        reason: Reason code.
        dispatched: Whether a byte of the request can have reached an endpoint.
        retry_after_ms: Replaces the default of the row, for example to add jitter.
        remedy: Replaces the default of the row.

    Raises:
        UnknownReasonError: If ``REASONS`` has no such code.
        InvariantViolationError: If the row says ``not_run`` and ``dispatched`` is
            true.

    Examples:
        >>> refuse("deadline", dispatched=False).ran
        'not_run'
    """
    row = REASONS.get(reason)
    if row is None:
        raise UnknownReasonError(
            f"unknown refusal reason {reason!r}, add it to REASONS"
        )
    require_invariant(
        not (dispatched and row.ran == "not_run"),
        NOT_RUN_AFTER_DISPATCH,
        reason=reason,
    )
    if retry_after_ms is None:
        retry_after_ms = row.retry_after_ms
    return Refusal(reason, row.ran, retry_after_ms, remedy or row.remedy)
