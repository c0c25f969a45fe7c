"""Guards against a process that waits for its log reader, and against log floods."""

import os

from mustardtrack.logs.bounded import BYTES_PER_S, LINES_PER_S, BoundedWriter


def test_reader_that_does_not_read_blocks_nothing():
    reading, writing = os.pipe()
    seconds = iter(range(10_000))
    writer = BoundedWriter(writing, lambda: next(seconds))
    for _ in range(2000):
        writer.write("x" * 1000 + "\n")
    assert writer.left_out > 0
    os.close(reading)
    writer.write("y\n")
    os.close(writing)


def test_lines_of_one_second_are_bounded_and_counted():
    reading, writing = os.pipe()
    now = [5.0]
    writer = BoundedWriter(writing, lambda: now[0])
    for number in range(LINES_PER_S + 7):
        writer.write(f"{number}\n")
    assert writer.left_out == 7
    now[0] = 6.0
    writer.write("next\n")
    text = os.read(reading, 1_000_000).decode()
    assert '"count": 7' in text
    assert text.endswith("next\n")
    os.close(reading)
    os.close(writing)


def test_bytes_of_one_second_are_bounded():
    reading, writing = os.pipe()
    writer = BoundedWriter(writing, lambda: 1.0)
    writer.write("x" * (BYTES_PER_S + 1))
    assert writer.left_out == 1
    os.close(reading)
    os.close(writing)
