"""Stand-in engine process.

``python -m mustardtrack.testing.engine --name engine-1 --address 127.0.0.1:9001``
"""

from argparse import ArgumentParser, Namespace
from typing import Any

import msgspec

from mustardtrack.testing.batching import Rates
from mustardtrack.testing.enginemodel import EngineOptions
from mustardtrack.testing.server import (
    Journal,
    add_fault_options,
    make_parser,
    run_server,
)
from mustardtrack.testing.switches import EngineFaults

NUMBERS = {
    "max_queue": "requests that may wait",
    "piece_chars": "characters of a cached piece",
    "cache_tokens": "memory of the prefix cache",
    "cache_idle_ms": "idle time after which a piece is evicted, 0 for never",
    "event_delay_ms": "delay of cache events",
    "event_gap_every": "every n-th cache event is lost, 0 for none",
    "load_lag_ms": "age of the reported load",
    "load_ms": "time to load weights",
    "resume_window_ms": "time for which a disconnected stream can be resumed",
    "kv_tokens_per_second": "speed of KV export and import",
}
RATES = {
    "tokens-per-second": "total",
    "stream-tokens-per-second": "stream",
    "prefill-tokens-per-second": "prefill",
}


def make_engine_parser() -> ArgumentParser:
    """Return the parser of the command line."""
    parser = make_parser("Stand-in for a model engine.")
    add_fault_options(parser)
    parser.add_argument(
        "--model",
        action="append",
        metavar="NAME=VERSION",
        help="loaded model, may be repeated (default: example-model=1)",
    )
    parser.add_argument("--deterministic", action="store_true")
    parser.add_argument("--max-batch", type=int, default=Rates.max_batch)
    for option, field in RATES.items():
        parser.add_argument(f"--{option}", type=float, default=getattr(Rates, field))
    for field, text in NUMBERS.items():
        option = "--" + field.replace("_", "-")
        default = getattr(EngineOptions, field)
        parser.add_argument(option, type=int, default=default, help=text)
    return parser


def read_options(args: Namespace) -> EngineOptions:
    """Turn the parsed command line into options."""
    rates = Rates(
        args.tokens_per_second,
        args.stream_tokens_per_second,
        args.prefill_tokens_per_second,
        args.max_batch,
    )
    models = dict(pair.split("=", 1) for pair in args.model or ["example-model=1"])
    return EngineOptions(
        name=args.name,
        models=models,
        rates=rates,
        deterministic=args.deterministic,
        checks_fencing=args.fencing == "checked",
        **{field: getattr(args, field) for field in NUMBERS},
    )


def main() -> None:
    """Run the stand-in engine."""
    args = make_engine_parser().parse_args()
    faults = msgspec.convert(args.faults, EngineFaults)
    options = read_options(args)

    def build() -> Any:
        from mustardtrack.testing.engineface import EngineFace

        return EngineFace(options, faults, Journal(args.journal)).start()

    run_server(args.address, build, args.name)


if __name__ == "__main__":
    main()
