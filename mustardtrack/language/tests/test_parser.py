"""Guards against misparsed text, parser crashes and API keys in error messages."""

import re
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

import mustardtrack
from mustardtrack.configuration import (
    FIELDS,
    ChangeObject,
    Drain,
    LoadModel,
    ReleaseFingerprint,
    decode_command,
    encode_command,
    hash_key,
)
from mustardtrack.language import (
    BooleanOperation,
    LanguageError,
    Query,
    evaluate,
    parse,
    render_command,
)
from mustardtrack.language.values import FIELD_TYPES

NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,126}", fullmatch=True)
KEYWORDS = st.sampled_from(["if", "version", "on", "model", "create", "drain"])
TEXTS = st.text(st.characters(codec="utf-8", categories=["L", "N", "P", "S", "Zs"]))
TEXTS = TEXTS.filter(str.isprintable) | st.text('"\\ a,=')
VALUES = {
    "hashes": st.lists(st.builds(hash_key, st.text(max_size=9)), max_size=3),
    "number": st.floats(allow_nan=False, allow_infinity=False),
    "integer": st.integers(-(10**15), 10**15),
    "truth": st.booleans(),
    "text": TEXTS,
    "list": st.lists(TEXTS.filter(bool), max_size=3),
}
GUARDS = st.none() | st.integers(0, 10**17)


@st.composite
def change_commands(draw):
    kind = draw(st.sampled_from(sorted(FIELDS)))
    action = draw(st.sampled_from(["create", "set", "remove"]))
    chosen = draw(
        st.lists(
            st.sampled_from(FIELDS[kind]), unique=True, min_size=int(action == "set")
        )
    )
    fields = {
        name: draw(VALUES[FIELD_TYPES.get((kind, name), "text")]) for name in chosen
    }
    if action == "remove":
        fields = {}
    name = draw(NAMES | KEYWORDS)
    return ChangeObject("c", "ana", action, kind, name, fields, draw(GUARDS))


COMMANDS = st.one_of(
    change_commands(),
    st.builds(
        Drain,
        st.just("c"),
        st.just("ana"),
        st.sampled_from(["endpoint", "host"]),
        NAMES | KEYWORDS,
        st.booleans(),
        GUARDS,
    ),
    st.builds(
        LoadModel,
        st.just("c"),
        st.just("ana"),
        NAMES | KEYWORDS,
        NAMES | KEYWORDS,
        NAMES | KEYWORDS,
        GUARDS,
    ),
    st.builds(ReleaseFingerprint, st.just("c"), st.just("ana"), NAMES),
)


@given(COMMANDS)
@example(ChangeObject("c", "ana", "set", "host", "h", {"zone": '"\\a" b='}))
def test_rendered_command_parses_to_equal_command(command):
    parsed = parse(render_command(command), "c", "ana")
    assert parsed == command
    assert decode_command(encode_command(parsed)) == command


WORDS = st.sampled_from(
    "show accounts endpoints requests where order by limit and or not create set "
    "remove drain undrain load release model endpoint version if on fingerprint x 7 "
    'weight= rank=1 = != < <= ~ ( ) , "a b" " \\ key=s3cret serves=a,b \ud800 \0 é \n'
    "weights_version=".split(" ")
)


@given(st.lists(WORDS | st.text(max_size=4), max_size=14).map(" ".join) | st.text())
def test_arbitrary_text_parses_or_gives_an_error_within_the_text(text):
    try:
        parsed = parse(text)
    except LanguageError as error:
        assert 1 <= error.column <= max(len(text), 1)
        assert error.expected
        assert f"column {error.column}" in str(error)
    else:
        if isinstance(parsed, Query):
            evaluate(parsed, [])
        else:
            assert decode_command(encode_command(parsed)) == parsed


@pytest.mark.parametrize(
    "text",
    [
        "create account a key=s3cret",
        "create account a key_hashes=s3cret",
        "create account a weight=1 key = s3cret",
        "create account a key_hashes = s3cret more",
        "create account a key_hashes s3cret",
        'set account a key_hashes="s3cret',
        "set account a key_hashes=!s3cret",
        "set account a weight=s3cret",
    ],
)
def test_plain_text_key_is_rejected_and_not_in_the_error(text):
    with pytest.raises(LanguageError) as error_info:
        parse(text)
    assert "s3cret" not in str(error_info.value)


@pytest.mark.parametrize(
    ("text", "column", "part"),
    [
        ("", 1, "show"),
        ("show", 4, "endpoints"),
        ("show hosts where zone", 21, "one of ="),
        ("set host h", 10, "a field name"),
        ("set host h zone=a zone=b", 19, "each field once"),
        ("set host h colour=red", 12, "zone"),
        ("create-x host h", 1, "create"),
        ('set model m weights_version="\ud800"', 29, "letters, digits"),
        ('set endpoint e serves=m,"\0"', 23, "separated by commas"),
        ("show hosts where " + "not " * 40 + "a=1", 146, "32 levels"),
        ("set model " + "x" * 200 + " weights_version=1", 11, "127 characters"),
        ("x" * 70_000, 65_536, "65536 characters"),
    ],
)
def test_error_contains_column_and_alternatives(text, column, part):
    with pytest.raises(LanguageError) as error_info:
        parse(text)
    assert (error_info.value.column, part in str(error_info.value)) == (column, True)


def test_deep_nesting_does_not_exhaust_the_stack():
    text = "show hosts where " + "(" * 9000 + "a=1 or b=2" + ")" * 9000
    assert isinstance(parse(text).where, BooleanOperation)
    with pytest.raises(LanguageError):
        parse("show hosts where " + "(a=1 and not " * 9000 + "b=1" + ")" * 9000)


def test_all_examples_of_the_language_page_parse():
    page = Path(mustardtrack.__file__).parents[1] / "docs" / "language.md"
    blocks = re.findall(r"```mustardtrack\n(.*?)```", page.read_text(), re.DOTALL)
    lines = [line for block in blocks for line in block.splitlines()]
    assert len(lines) > 20
    for line in lines:
        parse(line)
