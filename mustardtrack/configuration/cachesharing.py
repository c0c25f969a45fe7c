"""Which client accounts share cached prompt prefixes.

An engine does not tell which account's request computed a cached prefix. When an
account that shares prefixes becomes isolated, its prefixes remain in the caches of the
engines and of the store, among those of the other accounts. The other accounts then
move to a new shared cache, the next generation, that this account has never used.
"""

from collections.abc import Set

import msgspec

# Stands for the callers of a configuration that names no accounts, or whose accounts
# are not known because an earlier release stored it.
ANONYMOUS = ""
# Beyond this number of names a new generation is begun, which needs only the names of
# the current configuration.
MAX_ACCOUNTS = 10_000


class CacheSharing(msgspec.Struct, frozen=True, array_like=True):
    """Generation of the shared cache and the accounts that may have used it.

    Attributes:
        generation: Increases when an account that may have used the shared cache
            becomes isolated.
        accounts: Names of the accounts that may have used this generation, sorted.
            They include accounts that are no longer configured, because they may be
            configured as isolated later.

    Examples:
        >>> shared = CacheSharing().advance(set(), {"a", "b"})
        >>> shared.advance({"a"}, {"b"})
        CacheSharing(generation=1, accounts=['b'])
        >>> shared.advance({"c"}, {"b"})
        CacheSharing(generation=0, accounts=['a', 'b'])
    """

    generation: int = 0
    accounts: list[str] = []

    def advance(self, isolated: Set[str], sharing: Set[str]) -> "CacheSharing":
        """Return the state after a configuration has taken effect.

        Args:
            isolated: Accounts that the configuration isolates.
            sharing: Accounts that share prefixes with each other.
        """
        earlier = set(self.accounts)
        if not isolated and not sharing:
            sharing = {ANONYMOUS}
        accounts = earlier | sharing
        is_left = bool(isolated & earlier) or (bool(isolated) and ANONYMOUS in earlier)
        if is_left or len(accounts) > MAX_ACCOUNTS:
            return CacheSharing(self.generation + 1, sorted(sharing))
        return CacheSharing(self.generation, sorted(accounts))
