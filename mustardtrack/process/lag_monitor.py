"""Measurement of the delay with which a process gets the processor."""

import asyncio

from mustardtrack.admission.schedulinglag import SchedulingLag
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import Clock, Metrics

ROUTER_DELAYED = define_event(
    8957, "WARNING", "router gets the processor late and shortens time limits"
)
ROUTER_RECOVERED = define_event(8958, "INFO", "router gets the processor in time again")

PERIOD_MS = 50
# Delay from which limits are shortened, see ``shorten_limit``.
DELAYED_MS = 125


async def monitor_lag(lag: SchedulingLag, clock: Clock, metrics: Metrics) -> None:
    """Measure delays until cancelled."""
    is_delayed = False
    while True:
        expected_ms = clock.now_ms() + PERIOD_MS
        await asyncio.sleep(PERIOD_MS / 1000)
        now_ms = clock.now_ms()
        lag.record(now_ms - expected_ms, now_ms)
        value_ms = lag.value_ms(now_ms)
        metrics.gauge("router.lag_ms", value_ms)
        if (value_ms > DELAYED_MS) != is_delayed:
            is_delayed = not is_delayed
            event = ROUTER_DELAYED if is_delayed else ROUTER_RECOVERED
            log_event(event, lag_ms=value_ms)
