"""Evaluation of queries against rows."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from mustardtrack.language.errors import LanguageError
from mustardtrack.language.queries import (
    Comparison,
    Condition,
    Negation,
    Query,
)

Row = Mapping[str, Any]


@dataclass(frozen=True)
class Table:
    """Result of a query: column names, and rows with one value per column."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


def evaluate(query: Query, rows: Sequence[Row]) -> Table:
    """Filter, sort and limit rows.

    A missing value is None. It sorts before all other values and satisfies no
    comparison except ``!=``. ``<`` and ``>`` hold only between values of the same
    type.

    Raises:
        LanguageError: If the query names a field that no row has.

    Examples:
        >>> from mustardtrack.language.parser import parse
        >>> rows = [{"name": "a", "rank": 1}, {"name": "b", "rank": 0}]
        >>> evaluate(parse("show classes order by rank limit 1"), rows).rows
        (('b', 0),)
    """
    columns = tuple(dict.fromkeys(key for row in rows for key in row))
    if rows:
        _check_fields(query, columns)
    selected = [row for row in rows if _matches(query.where, row)]
    for key in reversed(query.order):
        field = key.field
        selected.sort(
            key=lambda row: _sort_value(row.get(field)), reverse=key.descending
        )
    if query.limit is not None:
        selected = selected[: query.limit]
    values = tuple(tuple(row.get(name) for name in columns) for row in selected)
    return Table(columns, values)


def _check_fields(query: Query, columns: tuple[str, ...]) -> None:
    for key in query.order:
        if key.field not in columns:
            raise LanguageError(key.column, f"field {key.field}", columns)
    pending = [] if query.where is None else [query.where]
    while pending:
        condition = pending.pop()
        if isinstance(condition, Comparison):
            if condition.field not in columns:
                raise LanguageError(
                    condition.column, f"field {condition.field}", columns
                )
        elif isinstance(condition, Negation):
            pending.append(condition.condition)
        else:
            pending.extend(condition.conditions)


def _matches(condition: Condition | None, row: Row) -> bool:
    if condition is None:
        return True
    if isinstance(condition, Comparison):
        return _compare(condition, row.get(condition.field))
    if isinstance(condition, Negation):
        return not _matches(condition.condition, row)
    combine = any if condition.connective == "or" else all
    return combine(_matches(part, row) for part in condition.conditions)


def _compare(comparison: Comparison, value: Any) -> bool:
    operand = comparison.operand
    if comparison.operator == "~":
        return _contains(value, operand)
    if comparison.operator in _EQUALITY:
        return _equals(value, operand) is _EQUALITY[comparison.operator]
    same_type = _type_rank(value) == _type_rank(operand)
    return same_type and _ORDERINGS[comparison.operator](value, operand)


def _equals(value: Any, operand: Any) -> bool:
    if _type_rank(value) != _type_rank(operand):
        # An unquoted 7 in the query also matches the string "7" in the row.
        return (
            isinstance(value, str)
            and not isinstance(operand, bool)
            and (value == str(operand))
        )
    return bool(value == operand)


def _contains(value: Any, operand: Any) -> bool:
    if isinstance(value, list | tuple):
        return any(_equals(item, operand) for item in value)
    return isinstance(value, str) and str(operand) in value


def _type_rank(value: Any) -> int:
    for rank, type_ in enumerate(_TYPES):
        if isinstance(value, type_):
            return rank
    return len(_TYPES)


def _sort_value(value: Any) -> tuple[int, Any]:
    rank = _type_rank(value)
    return (rank, value if rank < len(_TYPES) else str(value))


_TYPES: tuple[Any, ...] = (type(None), bool, int | float, str)
_EQUALITY = {"=": True, "!=": False}
_ORDERINGS: dict[str, Callable[[Any, Any], bool]] = {
    "<": lambda value, operand: value < operand,
    "<=": lambda value, operand: value <= operand,
    ">": lambda value, operand: value > operand,
    ">=": lambda value, operand: value >= operand,
}
