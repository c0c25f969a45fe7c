"""Stand-in engine process.

``python -m mustardtrack.testing.engine --name engine-1 --address 127.0.0.1:9001``
"""

from argparse import ArgumentParser, Namespace
from typing import Any

import msgspec

from mustardtrack.testing.batching import EngineRates
from mustardtrack.testing.fault_injection import EngineFaults
from mustardtrack.testing.server import (
    RunJournal,
    add_fault_options,
    make_parser,
    run_server,
)
from mustardtrack.testing.simulated_engine import EngineOptions

INTEGER_OPTIONS = {
    "max_queue": "maximum number of queued requests",
    "piece_chars": "characters per prefix-cache block",
    "cache_tokens": "capacity of the prefix cache in tokens",
    "cache_idle_ms": "idle time after which a block is evicted; 0 disables eviction",
    "event_delay_ms": "delay before a cache event is published",
    "event_gap_every": "every n-th cache event is dropped; 0 drops none",
    "load_lag_ms": "age of the reported load",
    "load_ms": "time to load weights",
    "resume_window_ms": "time during which a disconnected stream can be resumed",
    "kv_tokens_per_second": "rate of KV cache export and import",
}
RATE_OPTIONS = {
    "tokens-per-second": "decode_tokens_per_s",
    "stream-tokens-per-second": "stream_tokens_per_s",
    "prefill-tokens-per-second": "prefill_tokens_per_s",
}


def make_engine_parser() -> ArgumentParser:
    """Return the command-line parser."""
    parser = make_parser("Stand-in for a model engine.")
    add_fault_options(parser)
    parser.add_argument(
        "--model",
        action="append",
        metavar="NAME=VERSION",
        help="loaded model; repeatable (default: example-model=1)",
    )
    parser.add_argument("--deterministic", action="store_true")
    parser.add_argument("--max-batch", type=int, default=EngineRates.max_batch)
    for option, field in RATE_OPTIONS.items():
        parser.add_argument(
            f"--{option}", type=float, default=getattr(EngineRates, field)
        )
    for field, help_text in INTEGER_OPTIONS.items():
        option = "--" + field.replace("_", "-")
        default = getattr(EngineOptions, field)
        parser.add_argument(option, type=int, default=default, help=help_text)
    return parser


def options_from_args(args: Namespace) -> EngineOptions:
    """Build the engine options from the parsed command line."""
    rates = EngineRates(
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
        **{field: getattr(args, field) for field in INTEGER_OPTIONS},
    )


def main() -> None:
    """Run the stand-in engine."""
    args = make_engine_parser().parse_args()
    faults = msgspec.convert(args.faults, EngineFaults)
    options = options_from_args(args)

    def make_resource() -> Any:
        from mustardtrack.testing.engine_api import EngineApi

        return EngineApi(options, faults, RunJournal(args.journal)).start()

    run_server(args.address, make_resource, args.name)


if __name__ == "__main__":
    main()
