"""Fault switches of the stand-ins, settable at start and by ``POST /faults``."""

from typing import Any, TypeVar

import msgspec


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the stand-in engine; the defaults are no fault.

    Attributes:
        crash_text: The process exits when a run starts whose prompt contains this.
        stall: No further pieces are generated; ``/health`` still answers.
        stall_health: ``/health`` does not answer.
        close_after_pieces: The connection is reset after this many pieces.
        late_ms: Delay before each answer; the run starts without delay.
        crossed: Answers carry the id of another attempt.
        swap_piece: This piece is sent after its successor.
        duplicate_piece: This piece is sent twice.
        drop_piece: This piece is left out.
        leaving: ``/health`` reports the state ``leaving``.
        times: Number of answers that the faults of answers apply to; None is all.
    """

    crash_text: str | None = None
    stall: bool = False
    stall_health: bool = False
    close_after_pieces: int | None = None
    late_ms: int = 0
    crossed: bool = False
    swap_piece: int | None = None
    duplicate_piece: int | None = None
    drop_piece: int | None = None
    leaving: bool = False
    times: int | None = None


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the stand-in service; the defaults are no fault.

    Attributes:
        crash_text: The process exits before it runs a call whose body contains this.
        crash_before: The process exits before it runs the next call.
        crash_after: The process exits after it has run the next call.
        stall: Calls are accepted but neither run nor answered.
        stall_after: Calls run but are not answered.
        stall_health: ``/health`` does not answer.
        close_after: Calls run, then the connection is reset without an answer.
        late_ms: Delay before each answer, after the run.
        crossed: Answers carry the id of another attempt.
        leaving: ``/health`` reports the state ``leaving``.
        times: Number of calls that the faults of calls apply to; None is all.
    """

    crash_text: str | None = None
    crash_before: bool = False
    crash_after: bool = False
    stall: bool = False
    stall_after: bool = False
    stall_health: bool = False
    close_after: bool = False
    late_ms: int = 0
    crossed: bool = False
    leaving: bool = False
    times: int | None = None


Faults = TypeVar("Faults", EngineFaults, ServiceFaults)


def merge_faults(faults: Faults, changes: dict[str, Any]) -> Faults:
    """Return the switches with some of them changed.

    Raises:
        msgspec.ValidationError: If a switch is unknown or has the wrong type.

    Examples:
        >>> merge_faults(EngineFaults(), {"late_ms": 5}).late_ms
        5
    """
    merged = msgspec.structs.asdict(faults) | changes
    return msgspec.convert(merged, type(faults))


def take_faults(faults: Faults) -> Faults:
    """Return the switches for one answer and use up one of ``times``."""
    if faults.times is None:
        return faults
    if faults.times <= 0:
        return type(faults)(leaving=faults.leaving, stall_health=faults.stall_health)
    faults.times -= 1
    return faults
