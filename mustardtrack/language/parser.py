"""Parser of the query and command language."""

import re
from functools import cache
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from mustardtrack.configuration.commands import (
    ChangeObject,
    Drain,
    FieldValue,
    LoadModel,
    OperatorCommand,
    ReleaseFingerprint,
)
from mustardtrack.configuration.objects import FIELDS, is_valid_name
from mustardtrack.language.errors import LanguageError
from mustardtrack.language.queries import (
    BooleanOperation,
    Comparison,
    Condition,
    Negation,
    Query,
    SortKey,
    Value,
)
from mustardtrack.language.values import (
    BOOLEAN_WORDS,
    ValueFormatError,
    convert_value,
    parse_number,
)

MAX_TEXT_CHARS = 65_536
MAX_DEPTH = 32

_ASSIGNMENTS_START = re.compile(r"\s*(create|set)\s+\S+\s+\S+\s")

_TERMINAL_DESCRIPTIONS = {
    "$END": "end of input",
    "SOURCE": "accounts|classes|models|endpoints|hosts|requests|reasons",
    "KIND": "account|class|model|endpoint|host",
    "DRAIN_KIND": "endpoint|host",
    "DRAIN_ACTION": "drain|undrain",
    "DIRECTION": "asc|desc",
    "OPERATOR": "one of = != < <= > >= ~",
    "INTEGER": "a number",
    "FIELD": "a field name",
    "NAME": "a name",
    "WORD": "a value",
    "STRING": "a quoted value",
    "EQUAL": "=",
    "COMMA": ",",
    "LPAR": "(",
    "RPAR": ")",
}


def parse(
    text: str, command_id: str = "", operator: str = ""
) -> Query | OperatorCommand:
    """Parse one query or command.

    Args:
        text: The text, at most 65,536 characters.
        command_id: Id of the command; a retry uses the same id.
        operator: Name of the operator who issues the command.

    Raises:
        LanguageError: If the text is not a valid query or command.

    Examples:
        >>> parse("show endpoints where zone = a limit 3").limit
        3
        >>> parse("drain host entry-1", "c7", "ana").name
        'entry-1'
    """
    if len(text) > MAX_TEXT_CHARS:
        raise LanguageError(
            MAX_TEXT_CHARS, "a longer text", (f"at most {MAX_TEXT_CHARS} characters",)
        )
    try:
        tree = _build_parser().parse(text)
    except UnexpectedInput as error:
        raise _to_language_error(error, text) from None
    return _TreeConverter(command_id, operator).build(tree)


@cache
def _build_parser() -> Lark:
    return Lark.open(
        "grammar.lark", rel_to=__file__, parser="lalr", maybe_placeholders=False
    )


def _to_language_error(error: UnexpectedInput, text: str) -> LanguageError:
    last = max(len(text), 1)
    if isinstance(error, UnexpectedCharacters):
        names = error.allowed or set()
        column = (error.pos_in_stream or 0) + 1
        found = _describe_input(text, column - 1)
    else:
        assert isinstance(error, UnexpectedToken)
        names = error.accepts or error.expected
        at_end = error.token.type == "$END"
        column = last if at_end else (error.token.start_pos or 0) + 1
        found = "end of input" if at_end else _describe_input(text, column - 1)
    expected = sorted(_TERMINAL_DESCRIPTIONS.get(name, name.lower()) for name in names)
    return LanguageError(min(column, last), found, tuple(expected))


def _describe_input(text: str, position: int) -> str:
    """Quote the word at a position, unless it may be part of a field value."""
    word = re.match(r"[\w-]{1,40}", text[position:])
    if word and _ASSIGNMENTS_START.match(text[:position]):
        return "another word"
    return repr(word[0] if word else text[position])


class _TreeConverter:
    """Converts a syntax tree to a query or command."""

    def __init__(self, command_id: str, operator: str):
        self._command_id = command_id
        self._operator = operator

    def build(self, tree: Tree[Token]) -> Query | OperatorCommand:
        body = _require_tree(tree.children[0])
        if body.data == "query":
            return _build_query(body)
        if body.data in ("create", "set", "remove"):
            return self._build_change(body)
        if body.data == "drain":
            return self._build_drain(body)
        if body.data == "load":
            return self._build_load(body)
        name = _extract_names(body)[0]
        return ReleaseFingerprint(self._command_id, self._operator, name)

    def _build_change(self, tree: Tree[Token]) -> ChangeObject:
        kind = str(_first_token(tree, "kind"))
        fields: dict[str, FieldValue] = {}
        for assignment in tree.find_data("assignment"):
            name, value = _build_assignment(kind, assignment, fields)
            fields[name] = value
        return ChangeObject(
            self._command_id,
            self._operator,
            str(tree.data),  # type: ignore[arg-type]
            kind,
            _extract_names(tree)[0],
            fields,
            _extract_version_guard(tree),
        )

    def _build_drain(self, tree: Tree[Token]) -> Drain:
        action, kind = tree.children[:2]
        return Drain(
            self._command_id,
            self._operator,
            str(kind),  # type: ignore[arg-type]
            _extract_names(tree)[0],
            action == "drain",
            _extract_version_guard(tree),
        )

    def _build_load(self, tree: Tree[Token]) -> LoadModel:
        model, version, endpoint = _extract_names(tree)
        return LoadModel(
            self._command_id,
            self._operator,
            model,
            version,
            endpoint,
            _extract_version_guard(tree),
        )


def _require_tree(node: Any) -> Tree[Token]:
    assert isinstance(node, Tree)
    return node


def _first_token(tree: Tree[Token], rule: str) -> Token:
    token = next(tree.find_data(rule)).children[0]
    assert isinstance(token, Token)
    return token


def _column(token: Token) -> int:
    return (token.start_pos or 0) + 1


def _extract_names(tree: Tree[Token]) -> list[str]:
    names = []
    for node in tree.children:
        if isinstance(node, Tree) and node.data == "name":
            token = node.children[0]
            assert isinstance(token, Token)
            if not is_valid_name(token):
                raise LanguageError(
                    _column(token),
                    "a name that is too long",
                    ("at most 127 characters",),
                )
            names.append(str(token))
    return names


def _extract_version_guard(tree: Tree[Token]) -> int | None:
    last = tree.children[-1]
    if isinstance(last, Tree) and last.data == "guard":
        return int(str(last.children[-1]))
    return None


def _decode_word(node: Any) -> str:
    token = node.children[0]
    if token.type == "STRING":
        return re.sub(r"\\(.)", r"\1", token[1:-1])
    return str(token)


def _build_assignment(
    kind: str, tree: Tree[Token], known: dict[str, FieldValue]
) -> tuple[str, FieldValue]:
    token, *values = tree.children
    assert isinstance(token, Token)
    name = str(token)
    if name not in FIELDS[kind]:
        raise LanguageError(_column(token), f"field {name[:40]}", FIELDS[kind])
    if name in known:
        raise LanguageError(
            _column(token), f"duplicate field {name}", ("each field once",)
        )
    words = [_decode_word(value) for value in values]
    try:
        return name, convert_value(kind, name, words)
    except ValueFormatError as error:
        first = _require_tree(values[0]).children[0]
        assert isinstance(first, Token)
        raise LanguageError(
            _column(first), f"an invalid value of {name}", (str(error),)
        ) from None


def _build_query(tree: Tree[Token]) -> Query:
    where: Condition | None = None
    order = []
    limit = None
    for node in tree.children:
        if isinstance(node, Token):
            limit = int(node) if node.type == "INTEGER" else limit
        elif node.data == "sort":
            order.append(_build_sort(node))
        elif node.data != "source":
            where = _build_condition(node, depth=1)
    return Query(str(_first_token(tree, "source")), where, tuple(order), limit)


def _build_sort(tree: Tree[Token]) -> SortKey:
    field, *direction = tree.children
    assert isinstance(field, Token)
    return SortKey(str(field), direction == ["desc"], _column(field))


def _build_condition(tree: Tree[Token], depth: int) -> Condition:
    if depth > MAX_DEPTH:
        column = next(_column(t) for t in tree.scan_values(lambda _: True))
        raise LanguageError(column, "deeper nesting", (f"{MAX_DEPTH} levels",))
    if tree.data == "comparison":
        field, operator, operand = tree.children
        return Comparison(
            str(field),
            str(operator),
            _build_operand(operand),
            _column(field),  # type: ignore[arg-type]
        )
    parts = [node for node in tree.children if isinstance(node, Tree)]
    conditions = tuple(_build_condition(part, depth + 1) for part in parts)
    if tree.data == "negation":
        return Negation(conditions[0])
    return BooleanOperation("or" if tree.data == "condition" else "and", conditions)


def _build_operand(node: Any) -> Value:
    word = _decode_word(node)
    if node.children[0].type == "STRING":
        return word
    if word in BOOLEAN_WORDS:
        return BOOLEAN_WORDS[word]
    number = parse_number(word)
    return word if number is None else number
