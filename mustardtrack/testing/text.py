"""Deterministic text generation for the stand-in engine.

The text is a pure function of model and prompt, so a test can compute the complete
expected output without calling an engine.
"""

import math

from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest

CHARS_PER_TOKEN = 4


def count_tokens(text: str) -> int:
    """Return the number of tokens: one for every 4 characters, rounded up.

    Examples:
        >>> count_tokens("abcde")
        2
    """
    return math.ceil(len(text) / CHARS_PER_TOKEN)


def text_seed(model: str, prompt: str) -> int:
    """Return the 64-bit digest that seeds the generated text."""
    return xxh3_64_intdigest(f"{model}\0{prompt}".encode())


def token_text(seed: int, index: int) -> str:
    """Return the text of the generated token at ``index``, counted from 0."""
    digest = xxh3_64_intdigest(index.to_bytes(8, "big"), seed)
    return f"{digest & 0xFFFFF:05x} "


def expected_text(model: str, prompt: str, max_tokens: int) -> str:
    """Return the complete text that any stand-in engine generates.

    Args:
        model: Name of the model.
        prompt: Complete prompt.
        max_tokens: Number of tokens to generate.

    Returns:
        The concatenated text of all tokens.

    Examples:
        >>> expected_text("m", "p", 2).startswith(expected_text("m", "p", 1))
        True
    """
    seed = text_seed(model, prompt)
    return "".join(token_text(seed, index) for index in range(max_tokens))


def hash_prompt_blocks(
    salt: str, prompt: str, block_chars: int
) -> list[tuple[str, int]]:
    """Split a prompt into full blocks and compute their chained digests.

    Args:
        salt: ``cache_salt`` of the request.
        prompt: Complete prompt.
        block_chars: Characters per block.

    Returns:
        Digest (32 hexadecimal digits) and end offset in characters of each
        block. A digest covers the salt and all preceding blocks. A final partial
        block is omitted.

    Examples:
        >>> [end for _, end in hash_prompt_blocks("s", "x" * 10, 4)]
        [4, 8]
    """
    blocks = []
    digest = xxh3_128_hexdigest(salt.encode())
    for end in range(block_chars, len(prompt) + 1, block_chars):
        block = prompt[end - block_chars : end]
        digest = xxh3_128_hexdigest(f"{digest}{block}".encode())
        blocks.append((digest, end))
    return blocks
