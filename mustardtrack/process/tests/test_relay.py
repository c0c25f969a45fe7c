"""Guards against engines whose answers never end."""

import asyncio
from types import SimpleNamespace

import pytest

from mustardtrack.adapters.endpoint_client import Chunk
from mustardtrack.process.completion_job import AttemptFailedError
from mustardtrack.process.relay import StreamRelay
from mustardtrack.requests import StreamAssembler

MAX_TOKENS = 100
# Ends the test if the relay does not.
MAX_READ_CHUNKS = 20_000


class EndlessStream:
    """Stream whose chunks are made by a function of their number."""

    def __init__(self, make_chunk, count=MAX_READ_CHUNKS):
        self._make_chunk = make_chunk
        self._count = count
        self.read = 0

    async def next_chunk(self, timeout_ms):
        """Return the next chunk."""
        self.read += 1
        assert self.read < MAX_READ_CHUNKS, "the relay does not end the attempt"
        return self._make_chunk(self.read) if self.read <= self._count else None


class Writer:
    """Writer that counts characters."""

    def __init__(self):
        self.chars = 0

    async def write_piece(self, piece, text):
        """Count a piece."""
        self.chars += len(text)


def relay(stream, writer):
    timing = SimpleNamespace(stream_idle_ms=1000, first_token_timeout_ms=1000)
    shared = SimpleNamespace(
        settings=SimpleNamespace(timing=timing),
        clock=SimpleNamespace(now_ms=lambda: 0),
        selector=SimpleNamespace(first_token=lambda *arguments: None),
        tracker=SimpleNamespace(accept=lambda *arguments: True),
        service_stats=SimpleNamespace(record_first_token=lambda *arguments: None),
    )
    assembler = StreamAssembler("r1")
    assembler.begin("r1.1", "e1", "a")
    job = SimpleNamespace(
        assembler=assembler,
        completion=SimpleNamespace(max_tokens=MAX_TOKENS),
        deadline_ms=1000,
        arrived_ms=0,
        class_name="c",
        request_id="r1",
        account=SimpleNamespace(name="a"),
    )
    attempt = SimpleNamespace(attempt_id="r1.1", endpoint="e1")
    return asyncio.run(StreamRelay(shared).run(job, attempt, stream, writer))


ENDLESS = {
    "pieces": lambda number: Chunk("r1.1", number - 1, "x"),
    "large pieces": lambda number: Chunk("r1.1", number - 1, "x" * 200_000),
    "repeated pieces": lambda number: Chunk("r1.1", 0, "x"),
    "chunks without a piece": lambda number: Chunk("r1.1"),
    "final markers": lambda number: Chunk("r1.1", piece_count=0),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_answer_without_end_fails_its_attempt(kind):
    """Guards against memory filled, and requests held, by one engine."""
    stream, writer = EndlessStream(ENDLESS[kind]), Writer()
    with pytest.raises(AttemptFailedError):
        relay(stream, writer)
    assert writer.chars <= 4_194_304
    assert stream.read <= 1000


def test_answer_of_all_tokens_is_relayed():
    """Guards against sound answers that are cut."""

    def make_chunk(number):
        if number <= MAX_TOKENS:
            return Chunk("r1.1", number - 1, "x")
        return Chunk("r1.1", piece_count=MAX_TOKENS)

    writer = Writer()
    relay(EndlessStream(make_chunk, MAX_TOKENS + 1), writer)
    assert writer.chars == MAX_TOKENS
