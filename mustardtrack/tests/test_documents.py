"""Guards against documentation of files, commands or reasons that do not exist."""

import re
from pathlib import Path

import pytest

from mustardtrack.language import parse
from mustardtrack.requests.catalogue import render_reasons

ROOT = Path(__file__).parents[2]
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *sorted((ROOT / "docs").rglob("*.md")),
]
FOLDERS = {path.name for path in ROOT.iterdir() if path.is_dir()}

LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
CODE_SPAN = re.compile(r"`([^`\n]+)`")
# Fenced blocks inside list items are indented.
FENCE = re.compile(r"^ *```.*?^ *```", re.MULTILINE | re.DOTALL)
MT_BLOCK = re.compile(r"^ *```mt\n(.*?)^ *```", re.MULTILINE | re.DOTALL)
PATH = re.compile(r"[\w.-]+(?:/[\w.-]+)+/?")
ROOT_FILE = re.compile(r"[\w-]+\.(?:md|txt|toml|lock)")


def find_links(page):
    targets = LINK.findall(FENCE.sub("", page.read_text()))
    return [target.partition("#")[0] for target in targets if "://" not in target]


def is_repository_path(word):
    if ROOT_FILE.fullmatch(word):
        return True
    return bool(PATH.fullmatch(word)) and word.split("/")[0] in FOLDERS


def find_paths(page):
    spans = CODE_SPAN.findall(FENCE.sub("", page.read_text()))
    words = [span.split()[0] for span in spans if span.strip()]
    return sorted({word for word in words if is_repository_path(word)})


def find_commands(page):
    blocks = MT_BLOCK.findall(page.read_text())
    lines = [line.strip() for block in blocks for line in block.splitlines()]
    return [line for line in lines if line]


def list_cases(find):
    return [
        pytest.param(page, case, id=f"{page.relative_to(ROOT)}-{case}")
        for page in PAGES
        for case in find(page)
        if case
    ]


@pytest.mark.parametrize("page, target", list_cases(find_links))
def test_link_points_to_an_existing_file(page, target):
    assert (page.parent / target).exists()


@pytest.mark.parametrize("page, path", list_cases(find_paths))
def test_path_in_backticks_exists(page, path):
    """Guards against documentation that refers to a moved or missing file."""
    assert (ROOT / path).exists() or (page.parent / path).is_file()


@pytest.mark.parametrize("page, text", list_cases(find_commands))
def test_command_of_a_page_parses(page, text):
    """Guards against documented commands that the parser refuses."""
    parse(text, "id", "operator")


def test_each_operations_page_shows_commands():
    """Guards against commands in fences not marked ``mt``, which are not checked."""
    pages = {page.name for page in PAGES if page.parent.name == "operations"}
    assert pages == {
        "drain.md",
        "install.md",
        "lost-disk.md",
        "overload.md",
        "partition.md",
        "quarantine.md",
        "upgrade.md",
    }
    for name in pages:
        assert find_commands(ROOT / "docs" / "operations" / name), name


def test_table_of_reasons_matches_the_code():
    """Guards against a caller that relies on an outdated code, status or remedy."""
    page = (ROOT / "docs" / "api.md").read_text()
    start = page.index("| code | status |")
    table = page[start:].split("\n\n")[0].rstrip("\n")
    assert table == render_reasons()
