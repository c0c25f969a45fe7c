"""Measures the latency that a router adds to completions, against direct calls.

    python bench/overhead.py --seed 1 [--router http://127.0.0.1:17131]

Without ``--direct`` the script starts its own stand-in engine, without prefill time.
To measure a router, start the engines behind it with the engine options in ``main``,
then pass the engines with ``--direct`` and the router with ``--router``; both may be
repeated.
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
# Prompts add up to about 40,000 tokens/s at 24 requests/s, below the limit of a large
# example account.
TENANT_CHARS = 4096
CASE_CHARS = 2048
QUESTION_CHARS = 400
# With prefill time, queues that differ between the paths would hide the latency that
# a router adds.
NO_PREFILL_OPTIONS = ("--prefill-tokens-per-second", "1e9")
MAX_LATENCY_US = 120_000_000
RESPONSE_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class PlannedRequest:
    """One request and its planned send time after the start."""

    at_s: float
    number: int
    prompt: str
    max_tokens: int


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds with a precision of three digits."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@dataclass
class PathMetrics:
    """Metrics of one path: direct, or through the routers."""

    path: str
    first_us: HdrHistogram = field(default_factory=make_histogram)
    between_us: HdrHistogram = field(default_factory=make_histogram)
    completed: int = 0
    failed: dict[str, int] = field(default_factory=dict)
    tokens_in_window: int = 0
    requests_in_window: int = 0

    def count_failure(self, reason: str) -> None:
        """Count a failed request by its reason."""
        self.failed[reason] = self.failed.get(reason, 0) + 1


def plan_requests(args: argparse.Namespace) -> list[PlannedRequest]:
    """Return the planned requests: Poisson arrivals with nested prompt prefixes."""
    rng = random.Random(args.seed)
    mean_tokens = args.tokens_per_second / args.rate
    requests = []
    at_s = 0.0
    while at_s < args.seconds:
        tenant = rng.randrange(TENANTS)
        case = rng.randrange(CASES)
        prompt = (
            _repeat_to_length(f"tenant {tenant}", TENANT_CHARS)
            + _repeat_to_length(f"case {tenant}.{case}", CASE_CHARS)
            + _repeat_to_length(f"question {rng.random()}", QUESTION_CHARS)
        )
        tokens = round(rng.uniform(0.5, 1.5) * mean_tokens)
        requests.append(PlannedRequest(at_s, len(requests), prompt, tokens))
        at_s += rng.expovariate(args.rate)
    return requests


def _repeat_to_length(text: str, chars: int) -> str:
    return (f"{text}. " * (chars // len(text)))[:chars]


@dataclass(frozen=True)
class Window:
    """Time from the end of the warm-up to the last send, over which rates are taken."""

    begin_s: float
    end_s: float

    def contains(self, now_s: float) -> bool:
        """Return whether a time is in the window."""
        return self.begin_s <= now_s < self.end_s


class Client:
    """HTTP client that keeps connections to one address open between requests."""

    def __init__(self, base_url: str, headers: dict[str, str]):
        parts = urlsplit(base_url)
        self._host, self._port = parts.hostname, parts.port
        self._headers = {"Host": parts.netloc, **headers}
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def stream(self, body: bytes) -> AsyncIterator[bytes]:
        """Send a completion request and yield the data of each server-sent event."""
        connection = self._idle.pop() if self._idle else await self._connect()
        reader, writer = connection
        try:
            headers = {**self._headers, "Content-Length": str(len(body))}
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            head = f"POST /v1/completions HTTP/1.1\r\n{lines}\r\n"
            writer.write(head.encode() + body)
            response_head = await reader.readuntil(b"\r\n\r\n")
            status = response_head.split(b" ", 2)[1]
            if status != b"200" or b"chunked" not in response_head.lower():
                raise ValueError(
                    f"response status {status.decode()}, or body not chunked"
                )
            async for event in _split_events(_read_chunks(reader)):
                yield event
            self._idle.append(connection)
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
    incomplete = b""
    async for chunk in chunks:
        *events, incomplete = (incomplete + chunk).split(b"\n\n")
        for event in events:
            if event.startswith(b"data: "):
                yield event[6:]


def make_body(args: argparse.Namespace, planned: PlannedRequest, direct: bool) -> bytes:
    """Return the request body; only direct calls carry the engine's own fields."""
    body = {
        "model": args.model,
        "prompt": planned.prompt,
        "max_tokens": planned.max_tokens,
        "stream": True,
    }
    if direct:
        request_id = f"bench-{planned.number}"
        body |= {
            "request_id": request_id,
            "attempt_id": f"{request_id}.1",
            "cache_salt": "bench",
        }
    return json.dumps(body).encode()


async def send_request(
    args: argparse.Namespace,
    client: Client,
    planned: PlannedRequest,
    start_s: float,
    metrics: PathMetrics,
) -> None:
    """Send one request at its planned time and record its metrics."""
    body = make_body(args, planned, metrics.path == "direct")
    planned_s = start_s + planned.at_s
    await asyncio.sleep(max(0.0, planned_s - time.monotonic()))
    # Latencies count from the planned send time, so that a delayed load generator
    # does not hide latency.
    previous_s = planned_s
    pieces: list[str] = []
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
        histogram = metrics.between_us if pieces else metrics.first_us
        if planned_s >= window.begin_s:
            histogram.record_value(max(1, round((now_s - previous_s) * 1e6)))
        metrics.tokens_in_window += window.contains(now_s)
        pieces.append(chunk["choices"][0]["text"])
        previous_s = now_s
    expected = expected_text(args.model, planned.prompt, planned.max_tokens)
    if not done or "".join(pieces) != expected:
        raise ValueError("completion text truncated or not as expected")
    metrics.completed += 1
    metrics.requests_in_window += window.contains(previous_s)


async def measure(
    args: argparse.Namespace, path: str, urls: list[str], headers: dict[str, str]
) -> PathMetrics:
    """Send all planned requests over one path, alternating between the base URLs."""
    metrics = PathMetrics(path)
    clients = [Client(url, headers) for url in urls]
    start_s = time.monotonic() + 0.5

    async def run_and_count_failure(send: Awaitable[None]) -> None:
        try:
            await asyncio.wait_for(send, args.seconds + RESPONSE_TIMEOUT_S)
        except (OSError, ValueError, EOFError, TimeoutError) as error:
            metrics.count_failure(str(error) or type(error).__name__)

    sends = [
        send_request(
            args, clients[planned.number % len(clients)], planned, start_s, metrics
        )
        for planned in plan_requests(args)
    ]
    await asyncio.gather(*(run_and_count_failure(send) for send in sends))
    for client in clients:
        client.close()
    return metrics


def print_table(args: argparse.Namespace, rows: list[PathMetrics]) -> None:
    """Print one line per path, with latencies in milliseconds."""
    window_s = args.seconds - args.warmup
    print(
        f"{'path':<8}{'done':>6}{'failed':>8}{'req/s':>8}{'tokens/s':>10}"
        f"{'first p50':>11}{'first p99':>11}{'between p50':>13}{'between p99':>13}"
    )
    for row in rows:
        latencies_ms = [
            histogram.get_value_at_percentile(percentile) / 1000
            for histogram in (row.first_us, row.between_us)
            for percentile in (50, 99)
        ]
        print(
            f"{row.path:<8}{row.completed:>6}{sum(row.failed.values()):>8}"
            f"{row.requests_in_window / window_s:>8.1f}"
            f"{row.tokens_in_window / window_s:>10.0f}"
            f"{latencies_ms[0]:>11.2f}{latencies_ms[1]:>11.2f}{latencies_ms[2]:>13.2f}{latencies_ms[3]:>13.2f}"
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
    parser.add_argument("--key", default="example-key-vitosha", help="API key")
    parser.add_argument("--work-class", default="urgent")
    parser.add_argument("--model", default="example-model")
    parser.add_argument("--rate", type=float, default=24.0, help="requests/s")
    parser.add_argument("--tokens-per-second", type=float, default=5200.0)
    parser.add_argument(
        "--seconds", type=float, default=25.0, help="duration of sending"
    )
    parser.add_argument(
        "--warmup",
        type=float,
        default=5.0,
        help="seconds at the start that are not measured",
    )
    return parser.parse_args()


async def measure_paths(
    args: argparse.Namespace, direct: list[str]
) -> list[PathMetrics]:
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
            options += ("--max-batch", "256", *NO_PREFILL_OPTIONS)
            engine = fleet.start_engine("engine", *options)
            direct = [f"http://{engine.address}"]
        print_table(args, asyncio.run(measure_paths(args, direct)))


if __name__ == "__main__":
    main()
