"""Guards against log events that the catalogue does not list."""

from collections import Counter
from pathlib import Path

from mustardtrack.logs.catalogue import PACKAGE, find_events, render_page


def test_events_page_matches_the_code():
    page = PACKAGE.parent / "docs" / "events.md"
    assert page.read_text(encoding="utf-8") == render_page()


def test_event_numbers_are_unique_across_modules():
    counts = Counter(event.number for event, _ in find_events())
    assert [number for number, count in counts.items() if count > 1] == []


def test_every_event_definition_is_found():
    definitions = sum(
        path.read_text(encoding="utf-8").count(" = define_event(")
        for path in Path(PACKAGE).rglob("*.py")
        if "tests" not in path.parts
    )
    assert len(find_events()) == definitions
