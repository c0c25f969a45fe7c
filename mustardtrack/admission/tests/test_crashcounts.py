"""Guards against one request that crashes all endpoints in turn."""

from mustardtrack.admission.crashcounts import (
    CRASH_LIMIT,
    CRASH_RETENTION_MS,
    MAX_FINGERPRINTS,
    CrashCounter,
)


def test_only_the_repeatedly_crashing_request_is_refused():
    counter = CrashCounter()
    for number in range(CRASH_LIMIT):
        counter.record(["bad", f"victim{number}"], number)
    assert counter.refused(CRASH_LIMIT) == ["bad"]


def test_refusal_expires_after_the_last_crash():
    counter = CrashCounter()
    for _ in range(CRASH_LIMIT):
        counter.record(["bad"], 0)
    counter.record(["other"], CRASH_RETENTION_MS)
    assert counter.refused(CRASH_RETENTION_MS + 1) == []


def test_memory_is_bounded():
    counter = CrashCounter()
    counter.record([str(number) for number in range(MAX_FINGERPRINTS + 5)], 0)
    assert len(counter._crashes) == MAX_FINGERPRINTS
