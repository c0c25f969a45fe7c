"""Guards against cache matches across accounts, weights or incarnations."""

from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.routing import CacheIndex, Salt, prefix_chain

NAMES = st.text(max_size=4)
SALTS = st.builds(Salt, NAMES, NAMES, NAMES)
LEVELS = st.lists(st.text(min_size=1, max_size=12), min_size=1, max_size=4)
ENGINES = st.sampled_from(["engine-1", "engine-2"])
INCARNATIONS = st.sampled_from(["a", "b", "c"])
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["record", "evict", "clear", "gap"]),
        ENGINES,
        INCARNATIONS,
        st.integers(0, 5),
    ),
    max_size=60,
)


@given(SALTS, SALTS, LEVELS, LEVELS, st.integers(1, 5))
def test_chains_of_different_salts_share_no_digest(mine, other, left, right, size):
    if mine != other:
        first = prefix_chain(mine, left, size)
        assert not set(first) & set(prefix_chain(other, right, size))


@given(STEPS, st.integers(1, 6))
def test_index_matches_only_pieces_stored_by_the_current_incarnation(steps, capacity):
    index = CacheIndex(capacity)
    bound: dict[str, str] = {}
    stored: set[tuple[str, int]] = set()
    for now_ms, (kind, engine, incarnation, digest) in enumerate(steps):
        if kind == "clear" or (kind == "record" and bound.get(engine) != incarnation):
            stored = {each for each in stored if each[0] != engine}
        if kind in ("record", "clear"):
            bound[engine] = incarnation
        if kind == "record":
            index.record(engine, incarnation, digest, 1.0, now_ms)
            stored.add((engine, digest))
        elif kind == "evict":
            index.evict(engine, digest)
            stored.discard((engine, digest))
        elif kind == "clear":
            index.clear(engine, incarnation)
        else:
            index.mark_gap(engine, now_ms)
        assert len(index) <= capacity
        for name, asked, piece in product(["engine-1", "engine-2"], "abc", range(6)):
            if index.match(name, asked, (piece,), now_ms).pieces:
                assert bound[name] == asked
                assert (name, piece) in stored
