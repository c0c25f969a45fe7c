"""Guards against queries that filter, sort or render rows incorrectly."""

import json

import pytest

from mustardtrack.language import (
    LanguageError,
    Table,
    evaluate,
    parse,
    render_json,
    render_table,
)

ROWS = [
    {"name": "e1", "zone": "a", "load": 5, "serves": ["m", "n"], "draining": False},
    {"name": "e2", "zone": "b", "load": 1.5, "serves": ["m"], "draining": True},
    {"name": "7", "zone": None, "load": None, "serves": [], "draining": False},
    {"name": "e4", "zone": "a", "load": 9, "serves": ["x y"]},
]


@pytest.mark.parametrize(
    ("clauses", "names"),
    [
        ("", ["e1", "e2", "7", "e4"]),
        ("where zone = a", ["e1", "e4"]),
        ("where zone != a", ["e2", "7"]),
        ("where name = 7", ["7"]),
        ("where load >= 1.5 and load < 9", ["e1", "e2"]),
        ("where load <= 1 or load > 8", ["e4"]),
        ("where zone < b", ["e1", "e4"]),
        ("where draining = true", ["e2"]),
        ("where draining != true", ["e1", "7", "e4"]),
        ("where not (zone = a or draining = true)", ["7"]),
        ("where zone = b or zone = a and load > 8", ["e2", "e4"]),
        ('where serves ~ m or serves ~ "x y"', ["e1", "e2", "e4"]),
        ("where name ~ e", ["e1", "e2", "e4"]),
        ("where load = true", []),
        ("order by load", ["7", "e2", "e1", "e4"]),
        ("order by zone desc, load desc limit 3", ["e2", "e4", "e1"]),
        ("limit 0", []),
    ],
)
def test_query_clauses_filter_sort_and_limit(clauses, names):
    table = evaluate(parse(f"show endpoints {clauses}"), ROWS)
    assert [row[0] for row in table.rows] == names


@pytest.mark.parametrize("clauses", ["where colour = 1", "order by zone, colour"])
def test_unknown_field_is_reported_with_its_column(clauses):
    text = f"show endpoints {clauses}"
    with pytest.raises(LanguageError) as error_info:
        evaluate(parse(text), ROWS)
    assert error_info.value.column == text.index("colour") + 1
    assert evaluate(parse(text), []) == Table((), ())


def test_rendering_escapes_control_characters_and_preserves_types():
    table = Table(("name", "items"), (("a\nb", [1, None]), ("c", True)))
    assert render_table(table).splitlines() == [
        "name  items",
        "a\\nb  1,-",
        "c     true",
    ]
    assert json.loads(render_json(table))[0] == {"name": "a\nb", "items": [1, None]}
    assert render_table(Table((), ())) == ""
