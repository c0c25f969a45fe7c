"""Counts lines of code by kind: tests, domain packages, benchmarks and the rest.

    python -m bench.shares

Blank lines and lines with only a comment are not counted.
"""

from pathlib import Path

ROOT = Path(__file__).parents[1]
DOMAIN_PACKAGES = (
    "admission",
    "agreement",
    "configuration",
    "idempotency",
    "membership",
    "requests",
    "routing",
)
TEST_SUPPORT_PACKAGE = "testing"


def count_lines(path: Path) -> int:
    lines = (line.strip() for line in path.read_text(encoding="utf-8").splitlines())
    return sum(1 for line in lines if line and not line.startswith("#"))


def classify(path: Path) -> str:
    parts = path.relative_to(ROOT).parts
    if "tests" in parts or path.name == "conftest.py":
        return "tests"
    if parts[0] != "mustardtrack":
        return "bench"
    if parts[1] in DOMAIN_PACKAGES:
        return "decisions"
    return "test support" if parts[1] == TEST_SUPPORT_PACKAGE else "other product code"


def main() -> None:
    counts: dict[str, int] = {}
    for path in ROOT.rglob("*.py"):
        if ".venv" not in path.parts:
            kind = classify(path)
            counts[kind] = counts.get(kind, 0) + count_lines(path)
    total = sum(counts.values())
    for kind, count in sorted(counts.items(), key=lambda item: -item[1]):
        print(f"{kind:20} {count:7} {100 * count / total:5.1f}%")
    print(f"{'all':20} {total:7}")


if __name__ == "__main__":
    main()
