"""Fault injection settings, set at start-up or by ``POST /faults``."""

from typing import Any, TypeVar

import msgspec


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults injected into the stand-in engine; the defaults inject none.

    Attributes:
        crash_text: The process exits when a run starts whose prompt contains this.
        stall: Token generation stops; ``/health`` still responds.
        stall_health: ``/health`` does not respond.
        close_after_pieces: The connection is closed after this many chunks.
        late_ms: Delay before each response; the run itself starts at once.
        crossed: Responses carry the id of another attempt.
        swap_piece: Index of a chunk that is sent after its successor.
        duplicate_piece: Index of a chunk that is sent twice.
        drop_piece: Index of a chunk that is not sent.
        leaving: ``/health`` reports the state ``leaving``.
        times: Number of responses that ``close_after_pieces``, ``late_ms``,
            ``crossed``, ``swap_piece``, ``duplicate_piece`` and ``drop_piece`` apply
            to; None means all.
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
    """Faults injected into the stand-in service; the defaults inject none.

    Attributes:
        crash_text: The process exits before it runs a call whose body contains this.
        crash_before: The process exits before it runs the next call.
        crash_after: The process exits after it has run the next call.
        stall: Calls are received but neither run nor answered.
        stall_after: Calls run but receive no response.
        stall_health: ``/health`` does not respond.
        close_after: Calls run, then the connection is reset without a response.
        late_ms: Delay before each response, after the run.
        crossed: Responses carry the id of another attempt.
        leaving: ``/health`` reports the state ``leaving``.
        times: Number of calls that the faults other than ``stall_health`` and
            ``leaving`` apply to; None means all.
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
    """Return the fault settings with ``changes`` applied.

    Raises:
        msgspec.ValidationError: If a setting is unknown or has the wrong type.

    Examples:
        >>> merge_faults(EngineFaults(), {"late_ms": 5}).late_ms
        5
    """
    merged = msgspec.structs.asdict(faults) | changes
    return msgspec.convert(merged, type(faults))


def consume_faults(faults: Faults) -> Faults:
    """Return the faults for one response and decrement ``times``.

    Once ``times`` is used up, only ``leaving`` and ``stall_health`` remain active.
    """
    if faults.times is None:
        return faults
    if faults.times <= 0:
        return type(faults)(leaving=faults.leaving, stall_health=faults.stall_health)
    faults.times -= 1
    return faults
