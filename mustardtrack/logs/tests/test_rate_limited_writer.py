"""Guards against a process that blocks on its log reader and against log floods."""

import os

from mustardtrack.logs.rate_limited_writer import (
    MAX_BYTES_PER_S,
    MAX_LINES_PER_S,
    RateLimitedWriter,
)


def test_stalled_reader_does_not_block_the_writer():
    read_end, write_end = os.pipe()
    seconds = iter(range(10_000))
    writer = RateLimitedWriter(write_end, lambda: next(seconds))
    for _ in range(2000):
        writer.write("x" * 1000 + "\n")
    assert writer.dropped_lines > 0
    os.close(read_end)
    writer.write("y\n")
    os.close(write_end)


def test_lines_per_second_are_limited_and_dropped_lines_counted():
    read_end, write_end = os.pipe()
    now = [5.0]
    writer = RateLimitedWriter(write_end, lambda: now[0])
    for number in range(MAX_LINES_PER_S + 7):
        writer.write(f"{number}\n")
    assert writer.dropped_lines == 7
    now[0] = 6.0
    writer.write("next\n")
    text = os.read(read_end, 1_000_000).decode()
    assert '"count": 7' in text
    assert text.endswith("next\n")
    os.close(read_end)
    os.close(write_end)


def test_bytes_per_second_are_limited():
    read_end, write_end = os.pipe()
    writer = RateLimitedWriter(write_end, lambda: 1.0)
    writer.write("x" * (MAX_BYTES_PER_S + 1))
    assert writer.dropped_lines == 1
    os.close(read_end)
    os.close(write_end)
