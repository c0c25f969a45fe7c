"""Guards against metrics that docs/metrics.md does not list."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[2]


def metric_name(node: ast.expr) -> str | None:
    """Return the metric name of a metrics call, with ``<>`` for each field."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        parts = [
            part.value if isinstance(part, ast.Constant) else "<>"
            for part in node.values
        ]
        return "".join(map(str, parts))
    if isinstance(node, ast.IfExp):
        return metric_name(node.body)
    return None


def used_names() -> set[str]:
    names = set()
    for path in (ROOT / "mustardtrack").rglob("*.py"):
        if {"tests", "testing"} & set(path.parts):
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in ("count", "timing", "gauge")
                and "metrics" in ast.unparse(node.func.value)
                and node.args
            ):
                name = metric_name(node.args[0])
                names |= {name} if name else set()
    return names


def test_every_metric_is_listed():
    page = (ROOT / "docs" / "metrics.md").read_text(encoding="utf-8")
    listed = {re.sub("<[^>]*>", "<>", name) for name in re.findall("`([^`]+)`", page)}
    assert used_names() - listed == set()
    assert len(used_names()) > 10
