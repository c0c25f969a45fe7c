"""Rendering of tables as text or JSON and of commands as text."""

import json
import re
from typing import Any

from mustardtrack.configuration.commands import (
    ChangeObject,
    Drain,
    FieldValue,
    LoadModel,
    OperatorCommand,
)
from mustardtrack.language.evaluation import Table

_UNQUOTED_WORD = re.compile(r"""[^\s="',()<>~!]+""")


def render_table(table: Table) -> str:
    """Render a table as aligned columns with a header line.

    Control characters are escaped, so that values cannot break the table layout.

    Examples:
        >>> print(render_table(Table(("name", "rank"), (("urgent", 0),))))
        name    rank
        urgent  0
    """
    lines = [list(table.columns)]
    lines += [[_render_cell(value) for value in row] for row in table.rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def render_json(table: Table) -> str:
    """Render a table as a JSON array with one object per row.

    Examples:
        >>> render_json(Table(("name",), (("urgent",),)))
        '[{"name": "urgent"}]'
    """
    rows = [dict(zip(table.columns, row, strict=True)) for row in table.rows]
    return json.dumps(rows, default=str)


def render_command(command: OperatorCommand) -> str:
    """Render a command as text that :func:`parse` parses to an equal command.

    Examples:
        >>> render_command(Drain("c1", "ana", "host", "entry-1", True, 4))
        'drain host entry-1 if version 4'
    """
    if isinstance(command, ChangeObject):
        words = [command.action, command.kind, command.name]
        words += [
            f"{key}={_render_value(value)}" for key, value in command.fields.items()
        ]
    elif isinstance(command, Drain):
        action = "drain" if command.draining else "undrain"
        words = [action, command.kind, command.name]
    elif isinstance(command, LoadModel):
        words = ["load", "model", command.model, "version"]
        words += [command.weights_version, "on", command.endpoint]
    else:
        return f"release fingerprint {command.fingerprint}"
    if command.if_version is not None:
        words.append(f"if version {command.if_version}")
    return " ".join(words)


def _render_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list | tuple):
        return ",".join(_render_cell(item) for item in value)
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    return text if text.isprintable() else repr(text)[1:-1]


def _render_value(value: FieldValue) -> str:
    if isinstance(value, list):
        return ",".join(_quote(word) for word in value) or '""'
    if isinstance(value, bool):
        return "true" if value else "false"
    return _quote(value) if isinstance(value, str) else repr(value)


def _quote(word: str) -> str:
    if _UNQUOTED_WORD.fullmatch(word):
        return word
    escaped = re.sub(r'(["\\])', r"\\\1", word)
    return f'"{escaped}"'
