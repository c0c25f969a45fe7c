"""Guards against an estimated cache that loses parts the engine still holds."""

from hypothesis import example, given
from hypothesis import strategies as st

from mustardtrack.membership.endpoint_list import ListedEndpoint
from mustardtrack.routing.answertimes import AnswerTimes
from mustardtrack.routing.enginespeeds import EngineSpeeds
from mustardtrack.routing.enginestate import EngineState, PlacedPrompt
from mustardtrack.routing.firsttoken import PrefillPlan, slot_wait_ms

LISTED = ListedEndpoint("e", 0, "s", "10.0.0.1:1", "a", 8, False, False, {"m": 1})
CAPACITY = 1000


def key(number):
    return ("salt", str(number))


def add(engine, name, parts, output_tokens=0):
    keys = tuple(one for one, _ in parts)
    prompt = PlacedPrompt("e", 10, output_tokens, 0, 10_000, keys=keys)
    engine.add(name, prompt, parts, CAPACITY)
    return prompt


def test_part_in_use_is_counted_once_and_not_evicted():
    engine = EngineState(LISTED)
    for number in range(5):
        add(engine, str(number), [(key("o"), 400), (key(number), 100)], 20)
    assert engine.unevictable_tokens == 400 + 5 * 100 + 5 * 20
    assert engine.cached_prefix([(key("o"), 400)]) == 400


def test_least_recently_used_part_is_evicted_first():
    engine = EngineState(LISTED)
    for number in range(3):
        add(engine, str(number), [(key(number), 400)])
        engine.remove(str(number))
    assert [one for one in engine.cache] == [key(1), key(2)]


def test_late_report_does_not_remove_a_part_in_use():
    engine = EngineState(LISTED)
    add(engine, "a", [(key(1), 400)])
    engine.apply_cache_event(key(1), 0)
    assert engine.cached_prefix([(key(1), 400)]) == 400
    engine.remove("a")
    engine.apply_cache_event(key(1), 0)
    assert engine.cached_prefix([(key(1), 400)]) == 0


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("add"),
            st.integers(0, 5),
            st.lists(st.integers(0, 6), max_size=3, unique=True),
            st.integers(0, 300),
        ),
        st.tuples(st.just("remove"), st.integers(0, 5)),
        st.tuples(st.just("correct"), st.integers(0, 6), st.integers(0, 300)),
        st.tuples(st.just("clear")),
    )
)


@given(STEPS)
# A cache event lifts the estimate above the capacity; the second add has no effect.
@example([("add", 0, [0, 6, 1], 51), ("correct", 2, 300), ("add", 0, [], 0)])
def test_token_totals_match_the_cached_parts(steps):
    engine = EngineState(LISTED)
    for step in steps:
        has_added = step[0] == "add" and str(step[1]) not in engine.placed
        cached_before = set(engine.cache)
        if has_added:
            parts = [(key(number), 100 + 50 * number) for number in step[2]]
            add(engine, str(step[1]), parts, step[3])
        elif step[0] == "remove":
            engine.remove(str(step[1]))
        elif step[0] == "correct":
            engine.apply_cache_event(key(step[1]), step[2])
            # The engine reports its evictions itself, so no other part is evicted.
            assert set(engine.cache) ^ cached_before <= {key(step[1])}
        elif step[0] == "clear":
            engine.clear()
        used = {one for prompt in engine.placed.values() for one in prompt.keys}
        assert engine.resident_tokens == sum(engine.cache.values())
        assert engine.pinned_tokens == sum(engine.cache[one] for one in used)
        outputs = sum(prompt.output_tokens for prompt in engine.placed.values())
        assert engine.output_tokens == outputs
        fits = engine.resident_tokens + engine.output_tokens <= CAPACITY
        assert fits or not has_added or set(engine.cache) == used
    for name in list(engine.placed):
        engine.remove(name)
    assert engine.unevictable_tokens == 0 and not engine.pins


PLAN = PrefillPlan(10, 33.0, 0.0, 0, False, LISTED.slots, LISTED.slots, 40.0)


def test_full_batch_delays_the_next_prompt():
    """Guards against placing more prompts on an idle engine than its batch holds."""
    engine = EngineState(LISTED)
    speeds = EngineSpeeds(AnswerTimes())
    for number in range(8):
        assert slot_wait_ms(engine, speeds, PLAN, 0) == 0
        add(engine, str(number), [(key(number), 10)])
    waits = []
    for number in range(8, 11):
        waits.append(slot_wait_ms(engine, speeds, PLAN, 0))
        add(engine, str(number), [(key(number), 10)])
    assert waits == [125, 250, 375]


def test_engine_listing_replaces_parts_that_are_not_in_use():
    engine = EngineState(LISTED)
    add(engine, "a", [(key(1), 100)])
    add(engine, "b", [(key(2), 200)])
    engine.remove("b")
    engine.replace([(key(3), 300)])
    assert set(engine.cache) == {key(1), key(3)}
    assert engine.resident_tokens == 400
    assert engine.fetchable_prefix([(key(3), 300)]) == 300
