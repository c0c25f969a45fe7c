"""Guards against I/O in domain packages and platform names outside ``platform``."""

import ast
import re
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


# Names that only the users' platform uses. Words that the project's own interface
# uses as well, such as "version" or "slots", are left out because they do not indicate
# a platform name.
WIRE_NAMES = (
    "request-id",
    "deadline-ms",
    "prefix-hash",
    "response-seal",
    "expect-instance",
    "expect-version",
    "instance-load",
    "instance-id",
    "not-executed",
    "token-usage",
    "cache-salt",
    "request-urgency",
    "kv-fetch",
    "kv-save",
    "weight-versions",
    "last-event-id",
    "path-prefix",
    "traffic-split",
    "target-latency-ms",
    "max-attempts",
    "api-keys",
    "kv-store-addr",
    "next-token",
    "page-token",
    "boot-epoch",
    "ttl-s",
    "/v1/lookup",
    "/v1/config",
    "/v1/version-put",
    "/v1/order",
    "/v1/report",
    "/v1/kv-",
    "/instances",
)


def text_constants(path: Path) -> set[str]:
    texts = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            value = node.value
            texts.add(value if isinstance(value, str) else value.decode("latin-1"))
    return texts


def test_only_the_platform_package_names_wire_fields():
    """Guards against wire names of the platform in other packages."""
    for path in PACKAGE.rglob("*.py"):
        parts = path.relative_to(PACKAGE).parts
        if parts[0] == "platform" or {"tests", "testing"} & set(parts):
            continue
        for text in text_constants(path):
            # The project's own headers start with its name and are ignored.
            remaining = re.sub(r"mustardtrack-[a-z-]+", "", text.lower())
            found = [name for name in WIRE_NAMES if name in remaining]
            assert not found, (path, text)
