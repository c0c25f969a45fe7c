"""Query and command language for operators."""

from mustardtrack.language.errors import LanguageError
from mustardtrack.language.evaluation import Table, evaluate
from mustardtrack.language.parser import parse
from mustardtrack.language.queries import (
    SOURCE_KINDS,
    BooleanOperation,
    Comparison,
    Condition,
    Negation,
    Query,
    SortKey,
)
from mustardtrack.language.rendering import render_command, render_json, render_table

__all__ = [
    "SOURCE_KINDS",
    "BooleanOperation",
    "Comparison",
    "Condition",
    "LanguageError",
    "Negation",
    "Query",
    "SortKey",
    "Table",
    "evaluate",
    "parse",
    "render_command",
    "render_json",
    "render_table",
]
