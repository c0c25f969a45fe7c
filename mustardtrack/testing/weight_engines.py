"""Stand-in engines that carry out orders to load weights, in simulated time.

The engines and the platform's list of them are called through the interface of
:class:`mustardtrack.adapters.upstream.ConnectionPool`.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from mustardtrack.adapters.upstream import ConnectError, ConnectionBrokenError

LIST_ADDRESS = "10.0.0.100:1"
SERVICE, MODEL = "pool", "m"
# Time after which a caller gives up an order that is not answered.
NO_ANSWER_S = 1.0


@dataclass
class WeightEngine:
    """One engine.

    Attributes:
        version: Weights version that it has.
        accepted_orders: Number of orders accepted since its start.
        ordered_version: Version that it loads, None if it does not load.
        late_orders: Delays in milliseconds of orders that get no answer and are
            carried out later, by the number of the order that reaches the engine.
        received: Orders received, with the loop time in seconds.
        history: Versions, newest last, with the loop time in seconds of each change.
        instance: Identity of the engine, None for the one that the list names.
        is_silent: Whether it answers no call.
        reports_lost_until_s: Loop time in seconds until which its reports are lost.
        report_s: Time in seconds that an answer with its report takes.
    """

    version: int = 1
    accepted_orders: int = 0
    ordered_version: int | None = None
    late_orders: dict[int, float] = field(default_factory=dict)
    received: list[tuple[float, dict[str, Any]]] = field(default_factory=list)
    history: list[tuple[float, int]] = field(default_factory=list)
    instance: str | None = None
    is_silent: bool = False
    reports_lost_until_s: float = 0.0
    report_s: float = 0.0

    def version_at(self, time_s: float) -> int:
        """Return the version that it had at a time of the loop."""
        return [version for since_s, version in self.history if since_s <= time_s][-1]


class WeightEngines:
    """Engines at the addresses 10.0.0.1:1 to 10.0.0.N:1, and the list that names them.

    Args:
        count: Number of engines.
        load_ms: Time of a load.
        list_lag_ms: Age of the versions that the platform's list shows.
        report_lag_ms: Age of what the reports show.
    """

    def __init__(
        self,
        count: int,
        load_ms: float = 1900,
        list_lag_ms: float = 800,
        report_lag_ms: float = 200,
    ) -> None:
        self._load_s = load_ms / 1000
        self._list_lag_s = list_lag_ms / 1000
        self._report_lag_s = report_lag_ms / 1000
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Future[None]] = set()
        start = (self._loop.time() - 60.0, 1)
        self.engines = {
            f"10.0.0.{number}:1": WeightEngine(history=[start])
            for number in range(1, count + 1)
        }
        self._states: dict[str, list[tuple[float, dict[str, Any]]]] = {}
        for address in self.engines:
            self._record_state(address)

    def versions(self) -> list[int]:
        """Return the version of each engine."""
        return [engine.version for engine in self.engines.values()]

    def set_version(self, address: str, version: int) -> None:
        """Set the version of an engine, which ends its load."""
        engine = self.engines[address]
        engine.version, engine.ordered_version = version, None
        engine.history.append((self._loop.time(), version))
        self._record_state(address)

    async def call(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: Any,
        body: bytes,
        connect_timeout_s: float,
        read_timeout_s: float,
        total_timeout_s: float,
        max_body_bytes: int,
        may_send: Callable[[], bool],
    ) -> tuple[int, bytes]:
        """Answer a call to an engine or to the platform.

        Raises:
            ConnectError: If the call may not be sent any more.
            ConnectionBrokenError: If the call gets no answer.
        """
        await asyncio.sleep(0.002)
        if not may_send():
            raise ConnectError("not sent: the permission has ended")
        if address == LIST_ADDRESS:
            return 200, self._encode_list()
        engine = self.engines[address]
        instance = engine.instance or f"i-{address}"
        if (
            dict(headers).get(b"expect-instance", instance.encode())
            != instance.encode()
        ):
            return 421, b""
        is_report = method == b"GET"
        is_lost = is_report and self._loop.time() < engine.reports_lost_until_s
        if engine.is_silent or is_lost:
            await asyncio.sleep(NO_ANSWER_S)
            raise ConnectionBrokenError("response timed out")
        if is_report:
            await asyncio.sleep(engine.report_s)
            return 200, self._encode_report(address)
        return await self._receive_order(address, json.loads(body))

    def _encode_list(self) -> bytes:
        time_s = self._loop.time() - self._list_lag_s
        entries = [
            {
                "id": f"i-{address}",
                "service": SERVICE,
                "address": address,
                "zone": "a",
                "slots": 64,
                "state": "ready",
                "models": [{"name": MODEL, "version": engine.version_at(time_s)}],
            }
            for address, engine in self.engines.items()
        ]
        return json.dumps({"instances": entries, "next-token": None}).encode()

    def _encode_report(self, address: str) -> bytes:
        time_s = self._loop.time() - self._report_lag_s
        states = self._states[address]
        known = [state for since_s, state in states if since_s <= time_s]
        return json.dumps(known[-1] if known else states[0][1]).encode()

    def _record_state(self, address: str) -> None:
        engine = self.engines[address]
        state = {
            "models": [{"name": MODEL, "version": engine.version}],
            "busy": engine.ordered_version is not None,
            "seq": engine.accepted_orders,
        }
        self._states.setdefault(address, []).append((self._loop.time(), state))

    async def _receive_order(
        self, address: str, order: dict[str, Any]
    ) -> tuple[int, bytes]:
        engine = self.engines[address]
        number = len(engine.received)
        engine.received.append((self._loop.time(), order))
        delay_ms = engine.late_orders.get(number)
        if delay_ms is None:
            return self._accept(address, order), b""
        self._loop.call_later(delay_ms / 1000, self._accept, address, order)
        await asyncio.sleep(NO_ANSWER_S)
        raise ConnectionBrokenError("response timed out")

    def _accept(self, address: str, order: dict[str, Any]) -> int:
        """Begin to carry out an order and return the status of the answer."""
        engine = self.engines[address]
        expected = order.get("expected-revision", engine.accepted_orders)
        if engine.ordered_version is not None or expected != engine.accepted_orders:
            return 409
        if order["version"] == engine.version:
            return 200
        engine.accepted_orders += 1
        engine.ordered_version = order["version"]
        self._record_state(address)
        task = asyncio.ensure_future(self._load(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 202

    async def _load(self, address: str) -> None:
        await asyncio.sleep(self._load_s)
        version = self.engines[address].ordered_version
        assert version is not None
        self.set_version(address, version)
