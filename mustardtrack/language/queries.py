"""Parsed queries."""

import dataclasses
from dataclasses import dataclass

Value = str | int | float | bool


@dataclass(frozen=True)
class Comparison:
    """Comparison of a field with a constant; ``~`` tests for containment.

    ``column`` is the position of the field in the query text.
    """

    field: str
    operator: str
    operand: Value
    column: int = dataclasses.field(default=1, compare=False)


@dataclass(frozen=True)
class Negation:
    """Negation of a condition."""

    condition: "Condition"


@dataclass(frozen=True)
class BooleanOperation:
    """Conjunction or disjunction; ``connective`` is ``and`` or ``or``."""

    connective: str
    conditions: tuple["Condition", ...]


Condition = Comparison | Negation | BooleanOperation


@dataclass(frozen=True)
class SortKey:
    """Field and direction to sort by."""

    field: str
    descending: bool = False
    column: int = dataclasses.field(default=1, compare=False)


@dataclass(frozen=True)
class Query:
    """A query over the rows of one source, such as ``endpoints``."""

    source: str
    where: Condition | None = None
    order: tuple[SortKey, ...] = ()
    limit: int | None = None


SOURCE_KINDS = {
    "accounts": "account",
    "classes": "class",
    "models": "model",
    "endpoints": "endpoint",
    "hosts": "host",
}
