"""Cache salts, under which engines and the store look up cached prompt prefixes.

Prefixes are shared only between prompts with equal salts. A salt covers the model, its
weights version and the cache that the client account uses: the current generation of
the shared cache or one of its own.
"""

from urllib.parse import quote

# A generation is a number, so that no shared cache is named like an account's own.
_OWN_CACHE_PREFIX = "a/"


def shared_cache(generation: int) -> str:
    """Return the name of the cache that accounts share.

    Args:
        generation: Generation of the shared cache
            (:mod:`mustardtrack.configuration.cachesharing`).
    """
    return str(generation)


def own_cache(account: str) -> str:
    """Return the name of the cache that only one account uses.

    Examples:
        >>> own_cache("0/é")
        'a/0%2F%C3%A9'
    """
    return _OWN_CACHE_PREFIX + quote(account, safe="")


def cache_salt(model: str, version: int | None, cache: str) -> str:
    """Return the cache salt of a prompt; different arguments give different salts.

    Args:
        model: Model of the prompt.
        version: Weights version that computes the prefixes, None if it is not known.
        cache: Name of the cache that the account uses.

    Examples:
        >>> cache_salt("m.1", 2, shared_cache(0))
        'm.1/2/0'
        >>> cache_salt("m", None, own_cache("t"))
        'm/None/a/t'
    """
    return f"{quote(model, safe='')}/{version}/{cache}"
