"""Digests that identify prompt prefixes."""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from xxhash import xxh3_128_digest


@dataclass(frozen=True)
class Salt:
    """Values by which cache entries are isolated from each other."""

    account: str
    model: str
    weights_version: str

    def encode(self) -> bytes:
        """Return an encoding that is unique to each salt."""
        parts = (self.account, self.model, str(self.weights_version))
        encoded = [part.encode() for part in parts]
        return b"".join(len(part).to_bytes(4, "big") + part for part in encoded)

    def cache_salt(self) -> str:
        """Return the value sent to engines as ``cache_salt``.

        Examples:
            >>> len(Salt("hotel", "model-a", "3").cache_salt())
            32
        """
        return blake2b(self.encode(), digest_size=16).hexdigest()


def prefix_chain(
    salt: Salt, levels: Sequence[str], piece_chars: int
) -> tuple[int, ...]:
    """Return the chain of 128-bit digests over the pieces of a prompt.

    Each digest covers the salt, its piece and all preceding pieces. Pieces are
    measured in characters from the start of each level, so the result does not
    depend on the tokenizer of an engine.

    Args:
        salt: Account, model and weights version.
        levels: Text of each level or message, outermost first.
        piece_chars: Characters per piece.

    Examples:
        >>> salt = Salt("hotel", "model-a", "3")
        >>> first = prefix_chain(salt, ["rules", "case 7"], 4)
        >>> other = prefix_chain(salt, ["rules", "case 8"], 4)
        >>> [a == b for a, b in zip(first, other, strict=True)]
        [True, True, True, False]
    """
    chain = []
    digest = xxh3_128_digest(salt.encode())
    for level in levels:
        for start in range(0, len(level), piece_chars):
            # The offset marks level boundaries: "ab", "c" must differ from "abc".
            piece = level[start : start + piece_chars]
            head = digest + start.to_bytes(8, "big")
            digest = xxh3_128_digest(head + piece.encode("utf-8", "surrogatepass"))
            chain.append(int.from_bytes(digest, "big"))
    return tuple(chain)


def level_ends(levels: Sequence[str], piece_chars: int) -> tuple[int, ...]:
    """Return the cumulative number of pieces up to the end of each level.

    Examples:
        >>> level_ends(["rules", "case 7"], 4)
        (2, 4)
    """
    ends = []
    total = 0
    for level in levels:
        total += -(-len(level) // piece_chars)
        ends.append(total)
    return tuple(ends)
