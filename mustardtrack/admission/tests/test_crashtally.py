"""Guards against one request that takes all endpoints down in turn."""

from mustardtrack.admission.crashtally import (
    BREAKS,
    MAX_FINGERPRINTS,
    MEMORY_MS,
    CrashTally,
)


def test_repeated_crashes_of_one_request_refuse_it_alone():
    tally = CrashTally()
    for number in range(BREAKS):
        tally.record(["bad", f"victim{number}"], number)
    assert tally.refused(BREAKS) == ["bad"]


def test_refusal_ends_when_the_request_no_longer_comes():
    tally = CrashTally()
    for _ in range(BREAKS):
        tally.record(["bad"], 0)
    tally.record(["other"], MEMORY_MS)
    assert tally.refused(MEMORY_MS + 1) == []


def test_memory_is_bounded():
    tally = CrashTally()
    tally.record([str(number) for number in range(MAX_FINGERPRINTS + 5)], 0)
    assert len(tally._breaks) == MAX_FINGERPRINTS
