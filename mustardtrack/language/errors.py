"""Syntax and field errors of the query and command language."""


class LanguageError(ValueError):
    """The text is not a valid query or command.

    Attributes:
        column: Position of the error, counted from 1; an error at the end of the
            text has the position of the last character.
        found: Description of the unexpected input. It never contains a field value,
            which may be a secret entered by mistake.
        expected: Descriptions of the valid alternatives.
    """

    def __init__(self, column: int, found: str, expected: tuple[str, ...]):
        alternatives = ", ".join(expected)
        super().__init__(f"column {column}: found {found}, expected {alternatives}")
        self.column = column
        self.found = found
        self.expected = expected
