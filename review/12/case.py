"""Lost answers on a booking route that is also marked as resumable."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness_3 import (  # noqa: E402
    ENGINE_PORT,
    HAS_TROUBLE,
    Answer,
    Client,
    Deployment,
    PlatformList,
    Record,
    Request,
    StandIns,
    build_entry,
    build_manifest,
    build_route,
    build_service,
    reset,
    respond_booked,
    respond_not_executed,
    run_case,
)

# At the first two engines, three of ten answers are lost: the largest share of
# answer_lost on the site, for its 6 s.
LOSING = ("i-0", "i-1")
LOST_OF_TEN = (3, 6, 9)
BOOKINGS = 120
SEND_PERIOD_S = 0.05
WORK_S = 0.02


class Engines:
    """Three engines of the booking service."""

    def __init__(self, record: Record, deployment: Deployment, stand_ins: StandIns):
        self._record = record
        self._hosts = [deployment.address(41 + number) for number in range(3)]
        self._counts: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        for number, host in enumerate(self._hosts):
            stand_ins.listen(host, ENGINE_PORT, self._answer_of(f"i-{number}"))

    def entries(self) -> list[dict[str, Any]]:
        """Return what the platform lists."""
        return [
            build_entry(f"i-{number}", f"{host}:{ENGINE_PORT}")
            for number, host in enumerate(self._hosts)
        ]

    def _answer_of(self, engine_id: str) -> Answer:
        async def answer(request: Request, writer: asyncio.StreamWriter) -> None:
            if request.headers.get("expect-instance") != engine_id:
                respond_not_executed(writer, 421, request)
                return
            name = request.headers["request-id"]
            self.runs[name] += 1
            self._counts[engine_id] += 1
            self._record.write(f"engine {engine_id}: runs {name}")
            is_losing = HAS_TROUBLE and engine_id in LOSING
            is_lost = is_losing and self._counts[engine_id] % 10 in LOST_OF_TEN
            await asyncio.sleep(WORK_S)
            if is_lost:
                self._record.write(f"engine {engine_id}: answer to {name} is lost")
                reset(writer)
                raise ConnectionResetError
            respond_booked(writer, request)
            await writer.drain()

        return answer


def main(record: Record, deployment: Deployment, stand_ins: StandIns) -> bool:
    """Send bookings while answers are lost; none may run twice."""
    engines = Engines(record, deployment, stand_ins)
    PlatformList(engines.entries).listen(deployment, stand_ins)
    route = build_route("/book/", "non_idempotent", resumable=True)
    route["max-attempts"] = 2
    deployment.start_all(build_manifest([route], [build_service()]))
    client = Client(record, deployment.routers)
    for number in range(1, BOOKINGS + 1):
        client.begin(f"{number:016x}", number, f"/book/{number}")
        time.sleep(SEND_PERIOD_S)
    client.join()
    twice = [name for name, runs in engines.runs.items() if runs > 1]
    record.write(f"{len(engines.runs)} bookings ran, {len(twice)} more than once")
    return not twice


if __name__ == "__main__":
    sys.exit(run_case(main, __file__))
