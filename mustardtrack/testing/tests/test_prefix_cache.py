"""Guards against cache hits that a real engine would not have."""

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.testing.prefix_cache import CacheEventLog, CacheKey, PrefixCache

BLOCK_TOKENS = 10
prompts = st.lists(st.text("ab", min_size=1, max_size=6), max_size=40)


def prefix_blocks(prompt, salt="s", version="1"):
    keys = [
        CacheKey(salt, "m", version, prompt[: end + 1]) for end in range(len(prompt))
    ]
    return [(key, BLOCK_TOKENS) for key in keys]


@given(prompts=prompts, idle_ms=st.sampled_from([0, 5]))
def test_cache_retains_complete_prefixes_within_its_capacity(prompts, idle_ms):
    # A block whose predecessor was evicted would use memory and never match.
    log = CacheEventLog(retained=10_000)
    cache = PrefixCache(4 * BLOCK_TOKENS, idle_ms, log)
    for now_ms, prompt in enumerate(prompts):
        cache.store(prefix_blocks(prompt), now_ms)
        contents = set()
        for event in log.read("i", 0, now_ms, 10_000).events:
            (contents.add if event.op == "stored" else contents.discard)(event.digest)
        assert len(contents) * BLOCK_TOKENS == cache.used_tokens <= 4 * BLOCK_TOKENS
        assert all(digest[:-1] in contents | {""} for digest in contents)
        cached = [
            block for block, _ in prefix_blocks(prompt) if block.digest in contents
        ]
        assert cache.match(prefix_blocks(prompt), now_ms) == len(cached) * BLOCK_TOKENS


def test_entries_never_match_another_salt_or_weights_version():
    cache = PrefixCache(1000, 0, CacheEventLog())
    cache.store(prefix_blocks("aa"), 0)
    assert cache.match(prefix_blocks("ab"), 0) == BLOCK_TOKENS
    assert cache.match(prefix_blocks("aa", salt="t"), 0) == 0
    assert cache.match(prefix_blocks("aa", version="2"), 0) == 0


def test_events_are_delayed_numbered_and_have_gaps():
    log = CacheEventLog(delay_ms=100, gap_every=2, retained=3)
    for number in range(5):
        log.add("stored", str(number), now_ms=10 * number)
    before_delay = log.read("i", 0, now_ms=50)
    after_delay = log.read("i", 0, now_ms=1000, limit=2)
    assert (before_delay.first, before_delay.last, before_delay.events) == (3, 0, [])
    assert [event.seq for event in after_delay.events] == [3]
    assert after_delay.last == 4  # event 4 is covered by the response but lost
    assert [event.seq for event in log.read("i", 4, now_ms=1000).events] == [5]
