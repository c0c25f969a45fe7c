"""Error of the query and command language."""


class LanguageError(ValueError):
    """The text is neither a query nor a command.

    Attributes:
        column: Position of the fault, from 1; at the end of the text it is the
            last character.
        found: What is there. It is never the value of a field, which may be a
            secret typed by mistake.
        expected: What may be there.
    """

    def __init__(self, column: int, found: str, expected: tuple[str, ...]):
        choices = ", ".join(expected)
        super().__init__(f"column {column}: found {found}, expected {choices}")
        self.column = column
        self.found = found
        self.expected = expected
