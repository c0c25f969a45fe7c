"""Slopes of observations, heartbeats, host leases and discovery."""

import random
from typing import Any

import msgspec

from bench.scaling import Result, Series, time_us, traced_bytes
from mustardtrack.membership import (
    EndpointTable,
    HostHeartbeat,
    HostTable,
    Load,
    Observation,
    ProbeAnswer,
    ProbeTable,
    Router,
    decode_observations,
    encode_observations,
    observed_endpoints,
)
from mustardtrack.ports import RouterHeartbeat

ENDPOINTS = (1100, 2750, 5500, 11_000)
OBSERVED = (22, 45, 89, 178)
HOSTS = (46, 92, 185, 370)
ASSIGNED_ENDPOINTS = 200


def make_observations(endpoints: int, observers: int) -> list[Observation]:
    return [
        Observation(
            f"engine-{n}",
            f"{n:032x}",
            "up",
            Load(n % 16, n % 5, n % 5000, 20),
            f"router-{observer}",
            1000,
        )
        for observer in range(observers)
        for n in range(endpoints)
    ]


def build_table(data: bytes) -> EndpointTable:
    """Return a table that took in decoded observations, as from heartbeats."""
    table = EndpointTable(3000)
    for one in decode_observations(data):
        table.observe(one, 0)
    return table


def build_probes(endpoints: int) -> ProbeTable:
    table = ProbeTable("router-1", 1500)
    for n in range(endpoints):
        answer = ProbeAnswer(f"{n:032x}", "up", Load(1, 2, 3000 + n, 20))
        table.record(f"engine-{n}", answer, 0)
    return table


def build_hosts(count: int) -> HostTable:
    table = HostTable(3000, 2000, random.Random(1))
    for n in range(count):
        address = f"10.0.{n >> 8}.{n & 255}:443"
        beat = HostHeartbeat(f"router-{n}", address, f"zone-{n % 12}", "up", 1)
        table.heartbeat(beat, 0)
    return table


def measure_tables(seed: int) -> list[Result]:
    """Measure the tables of endpoints and probes against endpoints."""
    memory = Series("EndpointTable, 3 observers", "bytes", "endpoints")
    probes = Series("ProbeTable", "bytes", "observed endpoints")
    for count in ENDPOINTS:
        data = encode_observations(make_observations(count, 3))
        _, used = traced_bytes(lambda: build_table(data))  # noqa: B023
        memory.add(count, used)
        _, used = traced_bytes(lambda: build_probes(count))  # noqa: B023
        probes.add(count, used)
    return [memory, probes]


def measure_heartbeats(seed: int) -> list[Result]:
    """Measure one heartbeat against the observations that it carries."""
    send = Series("report, encode heartbeat", "us", "observations")
    receive = Series("decode heartbeat, observe", "us", "observations")
    size = Series("heartbeat on the wire", "bytes", "observations")
    encoder = msgspec.msgpack.Encoder()
    for count in OBSERVED:
        probes = build_probes(count)

        def encode(probes: ProbeTable = probes) -> bytes:
            data = encode_observations(probes.report(100))
            beat = RouterHeartbeat(
                "router-1", "10.0.0.1:443", "zone-1", "up", 70_000, 9, data
            )
            return encoder.encode(beat)

        body = encode()
        table = build_table(encode_observations(make_observations(count, 3)))

        def take_in(body: bytes = body, table: EndpointTable = table) -> None:
            beat = msgspec.msgpack.decode(body, type=RouterHeartbeat)
            for one in decode_observations(beat.observations):
                table.observe(one, 100)

        send.add(count, time_us(encode))
        receive.add(count, time_us(take_in))
        size.add(count, len(body))
    return [send, receive, size]


def measure_hosts(seed: int) -> list[Result]:
    """Measure leases, discovery and the choice of observers against hosts."""
    memory = Series("HostTable", "bytes", "hosts")
    renew = Series("HostTable.heartbeat", "us", "hosts")
    discover = Series("discover", "us", "hosts")
    size = Series("discovery answer", "bytes", "hosts")
    live = Series("live_routers", "us", "hosts")
    assign = Series("observed_endpoints, per endpoint", "us", "hosts")
    for count in HOSTS:
        hosts, used = traced_bytes(lambda: build_hosts(count))  # noqa: B023
        memory.add(count, used)
        found = hosts.discover("zone-1", 10)
        rows: list[Any] = [
            {"host": one.host, "zone": one.zone, "address": one.address}
            for one in found
        ]
        answer = msgspec.json.encode({"addresses": rows, "ttl_ms": 2000})
        size.add(count, len(answer))
        discover.add(count, time_us(lambda: hosts.discover("zone-1", 10)))  # noqa: B023
        live.add(count, time_us(lambda: hosts.live_routers(10)))  # noqa: B023

        def renew_all(hosts: HostTable = hosts, count: int = count) -> None:
            for n in range(count):
                zone = f"zone-{n % 12}"
                beat = HostHeartbeat(f"router-{n}", "10.0.0.1:443", zone, "up", 2)
                hosts.heartbeat(beat, 20)

        renew.add(count, time_us(renew_all, count))
        routers = [Router(f"router-{n}", f"zone-{n % 12}") for n in range(count)]
        names = [f"engine-{n}" for n in range(ASSIGNED_ENDPOINTS)]
        assign.add(
            count,
            time_us(
                lambda: observed_endpoints("router-1", names, routers),  # noqa: B023
                ASSIGNED_ENDPOINTS,
            ),
        )
    return [memory, renew, discover, size, live, assign]
