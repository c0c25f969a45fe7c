"""Generated text of the stand-in engine.

The text is a pure function of model and prompt, so a test can compute the whole
expected answer without asking an engine.
"""

import math

from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest

CHARS_PER_TOKEN = 4


def count_tokens(text: str) -> int:
    """Return the number of prompt tokens: one for each started 4 characters.

    Examples:
        >>> count_tokens("abcde")
        2
    """
    return math.ceil(len(text) / CHARS_PER_TOKEN)


def text_seed(model: str, prompt: str) -> int:
    """Return the seed of the generated text, a 64-bit digest."""
    return xxh3_64_intdigest(f"{model}\0{prompt}".encode())


def token_text(seed: int, index: int) -> str:
    """Return the text of the generated token ``index``, counted from 0."""
    digest = xxh3_64_intdigest(index.to_bytes(8, "big"), seed)
    return f"{digest & 0xFFFFF:05x} "


def expected_text(model: str, prompt: str, max_tokens: int) -> str:
    """Return the complete text that every stand-in engine generates.

    Args:
        model: Name of the model.
        prompt: Whole prompt.
        max_tokens: Number of tokens to generate.

    Returns:
        The concatenated text of all pieces.

    Examples:
        >>> expected_text("m", "p", 2).startswith(expected_text("m", "p", 1))
        True
    """
    seed = text_seed(model, prompt)
    return "".join(token_text(seed, index) for index in range(max_tokens))


def cut_prompt(salt: str, prompt: str, piece_chars: int) -> list[tuple[str, int]]:
    """Cut a prompt into whole pieces and chain their digests.

    Args:
        salt: ``cache_salt`` of the request.
        prompt: Whole prompt.
        piece_chars: Characters of a piece.

    Returns:
        Digest (32 hexadecimal digits) and end offset in characters of each
        piece. A digest covers the salt and all preceding pieces. A last piece
        that is shorter than ``piece_chars`` is left out.

    Examples:
        >>> [end for _, end in cut_prompt("s", "x" * 10, 4)]
        [4, 8]
    """
    pieces = []
    digest = xxh3_128_hexdigest(salt.encode())
    for end in range(piece_chars, len(prompt) + 1, piece_chars):
        piece = prompt[end - piece_chars : end]
        digest = xxh3_128_hexdigest(f"{digest}{piece}".encode())
        pieces.append((digest, end))
    return pieces
