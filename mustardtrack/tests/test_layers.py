"""Guards against I/O in the packages that hold the decisions."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1]
DOMAIN = (
    "admission",
    "agreement",
    "configuration",
    "idempotency",
    "language",
    "membership",
    "requests",
    "routing",
)
FORBIDDEN = {"asyncio", "klein", "socket", "time", "treq", "twisted", "zmq"}
FORBIDDEN_PACKAGES = ("mustardtrack.adapters", "mustardtrack.process")


def imported_modules(path: Path) -> set[str]:
    modules = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            modules.add(node.module)
    return modules


@pytest.mark.parametrize("package", DOMAIN)
def test_domain_package_imports_no_io(package):
    paths = [
        path for path in (PACKAGE / package).rglob("*.py") if "tests" not in path.parts
    ]
    assert paths
    for path in paths:
        modules = imported_modules(path)
        assert not {name.split(".")[0] for name in modules} & FORBIDDEN, path
        assert not [name for name in modules if name.startswith(FORBIDDEN_PACKAGES)]
