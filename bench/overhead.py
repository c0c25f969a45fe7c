"""Time that a router adds to completions, measured against direct calls.

    python bench/overhead.py --seed 1 [--router http://127.0.0.1:17131]

Without ``--direct`` the script starts its own stand-in engine, without prefill
time. To measure a router, start engines that it serves in the same way, and pass
them with ``--direct`` and the router with ``--router``; both may be repeated.
"""

import argparse
import asyncio
import json
import random
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from hdrh.histogram import HdrHistogram

from mustardtrack.testing import Fleet, expected_text

TENANTS = 4
CASES = 20
# About 40,000 prompt tokens/s at 24 requests/s, below the limit of a large example
# account.
TENANT_CHARS = 4096
CASE_CHARS = 2048
QUESTION_CHARS = 400
# Prefill would hide the time that a router adds behind queues that differ per path.
NO_PREFILL = ("--prefill-tokens-per-second", "1e9")
HIGHEST_US = 120_000_000
ANSWER_LIMIT_S = 60.0


@dataclass(frozen=True)
class Task:
    """One request: time of sending after the start, and its content."""

    at_s: float
    number: int
    prompt: str
    max_tokens: int


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds with three significant digits."""
    return HdrHistogram(1, HIGHEST_US, 3)


@dataclass
class Measured:
    """Figures of one path."""

    path: str
    first_us: HdrHistogram = field(default_factory=make_histogram)
    between_us: HdrHistogram = field(default_factory=make_histogram)
    completed: int = 0
    failed: dict[str, int] = field(default_factory=dict)
    tokens_in_window: int = 0
    requests_in_window: int = 0

    def fail(self, reason: str) -> None:
        """Count a failed request by its reason."""
        self.failed[reason] = self.failed.get(reason, 0) + 1


def plan_tasks(args: argparse.Namespace) -> list[Task]:
    """Return the requests of one path: Poisson arrivals, nested prefixes."""
    rng = random.Random(args.seed)
    mean_tokens = args.tokens_per_second / args.rate
    tasks = []
    at_s = 0.0
    while at_s < args.seconds:
        tenant = rng.randrange(TENANTS)
        case = rng.randrange(CASES)
        prompt = (
            _filler(f"tenant {tenant}", TENANT_CHARS)
            + _filler(f"case {tenant}.{case}", CASE_CHARS)
            + _filler(f"question {rng.random()}", QUESTION_CHARS)
        )
        tokens = round(rng.uniform(0.5, 1.5) * mean_tokens)
        tasks.append(Task(at_s, len(tasks), prompt, tokens))
        at_s += rng.expovariate(args.rate)
    return tasks


def _filler(text: str, chars: int) -> str:
    return (f"{text}. " * (chars // len(text)))[:chars]


@dataclass(frozen=True)
class Window:
    """Time after the warm-up while requests are sent; rates are taken from it."""

    begin_s: float
    end_s: float

    def contains(self, now_s: float) -> bool:
        """Return whether a time lies in the window."""
        return self.begin_s <= now_s < self.end_s


class Client:
    """Keeps connections to one address open between requests."""

    def __init__(self, base_url: str, headers: dict[str, str]):
        parts = urlsplit(base_url)
        self._host, self._port = parts.hostname, parts.port
        self._headers = {"Host": parts.netloc, **headers}
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def stream(self, body: bytes) -> AsyncIterator[bytes]:
        """Send a completion and yield the data of each server-sent event."""
        pair = self._idle.pop() if self._idle else await self._connect()
        reader, writer = pair
        try:
            headers = {**self._headers, "Content-Length": str(len(body))}
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            head = f"POST /v1/completions HTTP/1.1\r\n{lines}\r\n"
            writer.write(head.encode() + body)
            answer = await reader.readuntil(b"\r\n\r\n")
            status = answer.split(b" ", 2)[1]
            if status != b"200" or b"chunked" not in answer.lower():
                raise ValueError(f"status {status.decode()}")
            async for event in _split_events(_read_chunks(reader)):
                yield event
            self._idle.append(pair)
        except BaseException:
            writer.close()
            raise

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(self._host, self._port)


async def _read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    while True:
        size = int(await reader.readline(), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def _split_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    rest = b""
    async for chunk in chunks:
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            if event.startswith(b"data: "):
                yield event[6:]


def make_body(args: argparse.Namespace, task: Task, direct: bool) -> bytes:
    """Return the body of a request; only direct calls carry engine fields."""
    body = {
        "model": args.model,
        "prompt": task.prompt,
        "max_tokens": task.max_tokens,
        "stream": True,
    }
    if direct:
        request_id = f"bench-{task.number}"
        body |= {
            "request_id": request_id,
            "attempt_id": f"{request_id}.1",
            "cache_salt": "bench",
        }
    return json.dumps(body).encode()


async def run_task(
    args: argparse.Namespace, client: Client, task: Task, start_s: float, out: Measured
) -> None:
    """Send one request at its time and record its figures."""
    body = make_body(args, task, out.path == "direct")
    due_s = start_s + task.at_s
    await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    # Times count from the planned sending, so that a late generator is not hidden.
    last_s = due_s
    texts: list[str] = []
    done = False
    window = Window(start_s + args.warmup, start_s + args.seconds)
    async for event in client.stream(body):
        now_s = time.monotonic()
        if event == b"[DONE]":
            done = True
            continue
        chunk = json.loads(event)
        if "error" in chunk:
            raise ValueError(chunk["error"].get("code", "error"))
        histogram = out.between_us if texts else out.first_us
        if due_s >= window.begin_s:
            histogram.record_value(max(1, round((now_s - last_s) * 1e6)))
        out.tokens_in_window += window.contains(now_s)
        texts.append(chunk["choices"][0]["text"])
        last_s = now_s
    wanted = expected_text(args.model, task.prompt, task.max_tokens)
    if not done or "".join(texts) != wanted:
        raise ValueError("incomplete or wrong text")
    out.completed += 1
    out.requests_in_window += window.contains(last_s)


async def measure(
    args: argparse.Namespace, path: str, urls: list[str], headers: dict[str, str]
) -> Measured:
    """Send all requests of the plan over one path, in turn to each base URL."""
    out = Measured(path)
    clients = [Client(url, headers) for url in urls]
    start_s = time.monotonic() + 0.5

    async def guard(work: Awaitable[None]) -> None:
        try:
            await asyncio.wait_for(work, args.seconds + ANSWER_LIMIT_S)
        except (OSError, ValueError, EOFError, TimeoutError) as error:
            out.fail(str(error) or type(error).__name__)

    works = [
        run_task(args, clients[task.number % len(clients)], task, start_s, out)
        for task in plan_tasks(args)
    ]
    await asyncio.gather(*(guard(work) for work in works))
    for client in clients:
        client.close()
    return out


def print_table(args: argparse.Namespace, rows: list[Measured]) -> None:
    """Print one line per path; times in milliseconds."""
    window_s = args.seconds - args.warmup
    print(
        f"{'path':<8}{'done':>6}{'failed':>8}{'req/s':>8}{'tokens/s':>10}"
        f"{'first p50':>11}{'first p99':>11}{'between p50':>13}{'between p99':>13}"
    )
    for row in rows:
        times = [
            histogram.get_value_at_percentile(percentile) / 1000
            for histogram in (row.first_us, row.between_us)
            for percentile in (50, 99)
        ]
        print(
            f"{row.path:<8}{row.completed:>6}{sum(row.failed.values()):>8}"
            f"{row.requests_in_window / window_s:>8.1f}"
            f"{row.tokens_in_window / window_s:>10.0f}"
            f"{times[0]:>11.2f}{times[1]:>11.2f}{times[2]:>13.2f}{times[3]:>13.2f}"
        )
    for row in rows:
        for reason, count in row.failed.items():
            print(f"{row.path}: {count} failed: {reason}")
    if len(rows) == 2:
        medians = [row.first_us.get_value_at_percentile(50) / 1000 for row in rows]
        print(
            f"added to the median time to first token: {medians[1] - medians[0]:.2f} ms"
        )


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--direct", action="append", metavar="URL", help="engines")
    parser.add_argument("--router", action="append", metavar="URL", help="routers")
    parser.add_argument("--key", default="example-key-vitosha", help="caller's key")
    parser.add_argument("--work-class", default="urgent")
    parser.add_argument("--model", default="example-model")
    parser.add_argument("--rate", type=float, default=24.0, help="requests/s")
    parser.add_argument("--tokens-per-second", type=float, default=5200.0)
    parser.add_argument("--seconds", type=float, default=25.0, help="sending time")
    parser.add_argument("--warmup", type=float, default=5.0, help="part not counted")
    return parser.parse_args()


async def measure_paths(args: argparse.Namespace, direct: list[str]) -> list[Measured]:
    """Measure the direct path, then the path through the routers."""
    rows = [await measure(args, "direct", direct, {})]
    if args.router:
        headers = {
            "Authorization": f"Bearer {args.key}",
            "Content-Type": "application/json",
            "Mustardtrack-Class": args.work_class,
        }
        rows.append(await measure(args, "router", args.router, headers))
    return rows


def main() -> None:
    """Run the benchmark and print its table."""
    args = parse_arguments()
    with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
        direct = args.direct
        if not direct:
            options = ("--model", f"{args.model}=1", "--tokens-per-second", "12000")
            options += ("--max-batch", "256", *NO_PREFILL)
            engine = fleet.start_engine("engine", *options)
            direct = [f"http://{engine.address}"]
        print_table(args, asyncio.run(measure_paths(args, direct)))


if __name__ == "__main__":
    main()
