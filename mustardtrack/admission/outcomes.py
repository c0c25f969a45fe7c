"""Outcomes of admission."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Admitted:
    """The request may proceed."""


@dataclass(frozen=True)
class Refused:
    """The request was not run and may be repeated after ``retry_after_ms``."""

    reason: str
    retry_after_ms: int


ADMITTED = Admitted()
