"""Guards against hits that a real engine would not have."""

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.testing.prefixcache import CacheKey, EventLog, PrefixCache

PIECE_TOKENS = 10
paths = st.lists(st.text("ab", min_size=1, max_size=6), max_size=40)


def chain(path, salt="s", version="1"):
    keys = [CacheKey(salt, "m", version, path[: end + 1]) for end in range(len(path))]
    return [(key, PIECE_TOKENS) for key in keys]


@given(paths=paths, idle_ms=st.sampled_from([0, 5]))
def test_cache_keeps_whole_prefixes_within_its_memory(paths, idle_ms):
    # A piece without its predecessor would use memory and could never match.
    log = EventLog(kept=10_000)
    cache = PrefixCache(4 * PIECE_TOKENS, idle_ms, log)
    for now_ms, path in enumerate(paths):
        cache.store(chain(path), now_ms)
        contents = set()
        for event in log.read("i", 0, now_ms, 10_000).events:
            (contents.add if event.op == "stored" else contents.discard)(event.digest)
        assert len(contents) * PIECE_TOKENS == cache.used_tokens <= 4 * PIECE_TOKENS
        assert all(digest[:-1] in contents | {""} for digest in contents)
        held = [piece for piece, _ in chain(path) if piece.digest in contents]
        assert cache.match(chain(path), now_ms) == len(held) * PIECE_TOKENS


def test_entries_never_match_another_salt_or_weights():
    cache = PrefixCache(1000, 0, EventLog())
    cache.store(chain("aa"), 0)
    assert cache.match(chain("ab"), 0) == PIECE_TOKENS
    assert cache.match(chain("aa", salt="t"), 0) == 0
    assert cache.match(chain("aa", version="2"), 0) == 0


def test_events_are_late_numbered_and_have_gaps():
    log = EventLog(delay_ms=100, gap_every=2, kept=3)
    for number in range(5):
        log.add("stored", str(number), now_ms=10 * number)
    early = log.read("i", 0, now_ms=50)
    late = log.read("i", 0, now_ms=1000, limit=2)
    assert (early.first, early.last, early.events) == (3, 0, [])
    assert [event.seq for event in late.events] == [3]
    assert late.last == 4  # number 4 is covered by the answer, and lost
    assert [event.seq for event in log.read("i", 4, now_ms=1000).events] == [5]
