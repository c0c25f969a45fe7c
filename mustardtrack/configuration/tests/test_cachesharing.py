"""Guards against cached prompt parts shared with an isolated account."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.configuration import cachesharing
from mustardtrack.configuration.cachesharing import CacheSharing
from mustardtrack.configuration.documents import DocumentStore, PutDocument
from mustardtrack.configuration.routes import RouteAccount, RouteTable
from mustardtrack.routing.cachesalts import cache_salt, own_cache, shared_cache

NAMES = ("a", "b", "c")
ROUTERS = ("current", "late")
# Whether each account shares prefixes or is isolated; None if it is not configured.
ACCOUNTS = st.fixed_dictionaries(
    {name: st.sampled_from(["shares", "isolated", None]) for name in NAMES}
)
PUT = st.tuples(st.just("put"), ACCOUNTS)
PROMPT = st.tuples(st.just("prompt"), st.sampled_from(NAMES), st.sampled_from(ROUTERS))
RESTART = st.tuples(st.just("restart"))


class Deployment:
    """Replicated configuration, two routers and one cache that evicts nothing.

    The late router applies each configuration when the next one is acknowledged.
    """

    def __init__(self):
        self.store = DocumentStore()
        self.tables = dict.fromkeys(ROUTERS, RouteTable(0, {}, {}, {}))
        self.makers = {}
        self.isolated = set()

    def put(self, accounts):
        """Put a configuration in force."""
        isolated = {name for name, state in accounts.items() if state == "isolated"}
        sharing = {name for name, state in accounts.items() if state == "shares"}
        version = self.store.document.version + 1
        command = PutDocument(version, b"", sorted(isolated), sorted(sharing))
        self.store.apply(version, command, 0)
        self.tables["late"] = self.tables["current"]
        self.tables["current"] = RouteTable(
            version,
            {},
            {},
            {},
            isolated_accounts=frozenset(isolated),
            sharing_accounts=frozenset(sharing),
            cache_generation=self.store.cache_sharing.generation,
        )
        self.isolated = isolated

    def restart(self):
        """Restart all processes from the stored state."""
        self.store = DocumentStore.restore(self.store.snapshot())
        table, generation = self.tables["current"], self.store.cache_sharing.generation
        self.tables = dict.fromkeys(
            ROUTERS, replace(table, cache_generation=generation)
        )

    def send(self, account, router):
        """Send a prompt and return the account that computed the part it uses."""
        cache = self.tables[router].cache_of(RouteAccount(account))
        return self.makers.setdefault(cache_salt("m", 1, cache), account)


@given(st.lists(PUT | PROMPT | RESTART, max_size=30))
def test_isolated_accounts_share_no_part_in_any_order_of_changes(steps):
    """Guards against parts from before a change, a restart or a late router."""
    deployment = Deployment()
    for kind, *values in steps:
        if kind == "put":
            deployment.put(*values)
        elif kind == "restart":
            deployment.restart()
        else:
            account, router = values
            maker = deployment.send(account, router)
            if router == "current" and maker != account:
                assert not {account, maker} & deployment.isolated


def test_only_the_isolation_of_a_sharing_account_begins_a_generation():
    """Guards against shared parts that other changes make useless."""
    shared = CacheSharing().advance(set(), {"a", "b"})
    for isolated, sharing in (
        (set(), {"a", "b", "c"}),
        ({"d"}, {"a", "b", "c"}),
        ({"d"}, {"a", "b"}),
        (set(), {"a", "b", "c", "d"}),
    ):
        shared = shared.advance(isolated, sharing)
        assert shared.generation == 0
    assert shared.advance({"d"}, {"a"}).generation == 1


def test_anonymous_prompts_are_not_shared_with_isolated_accounts():
    """Guards against parts from before the configuration named accounts."""
    anonymous = CacheSharing().advance(
        set(), RouteTable(1, {}, {}, None).sharing_accounts
    )
    assert anonymous.advance(set(), {"a"}).generation == 0
    assert anonymous.advance({"a"}, {"b"}).generation == 1


def test_number_of_kept_accounts_is_bounded(monkeypatch):
    """Guards against configurations that name ever new accounts."""
    monkeypatch.setattr(cachesharing, "MAX_ACCOUNTS", 5)
    sharing = CacheSharing()
    for number in range(20):
        sharing = sharing.advance(set(), {f"a{number}", "b"})
        assert len(sharing.accounts) <= 5
    # Accounts that were dropped have used earlier generations only.
    assert sharing.generation > 0


def test_snapshot_restores_the_accounts():
    store = DocumentStore()
    store.apply(1, PutDocument(1, b"x", [], ["a"]), 0)
    assert DocumentStore.restore(store.snapshot()).cache_sharing.accounts == ["a"]


def test_configuration_of_an_earlier_release_may_have_shared_with_every_account():
    """Guards against accounts that shared before their names were stored."""
    stored = DocumentStore.restore(b"\x95\x01\x01\xc4\x01x\x80\xa0")
    assert stored.document.content == b"x"
    replayed = DocumentStore()
    replayed.apply(1, PutDocument(1, b"x"), 0)
    for store in (stored, replayed):
        store.apply(2, PutDocument(2, b"y", ["a"], ["b"]), 0)
        assert store.cache_sharing == CacheSharing(1, ["b"])


def test_salts_of_different_caches_differ():
    """Guards against names that contain the separators of a salt."""
    models, versions = ("m", "m/1", "m.1"), (None, 1, 2)
    caches = [shared_cache(number) for number in range(3)]
    caches += [own_cache(name) for name in ("0", "1/a/0", "a", "a/a", "%2F", "m.1")]
    salts = [
        cache_salt(model, version, cache)
        for model in models
        for version in versions
        for cache in caches
    ]
    assert len(set(salts)) == len(salts)
