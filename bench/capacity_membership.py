"""Scaling of observations, heartbeats, host leases and discovery."""

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

ENDPOINT_COUNTS = (1100, 2750, 5500, 11_000)
OBSERVATION_COUNTS = (22, 45, 89, 178)
HOST_COUNTS = (46, 92, 185, 370)
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


def build_endpoint_table(data: bytes) -> EndpointTable:
    """Return a table filled from encoded observations, as heartbeats carry them."""
    table = EndpointTable(3000)
    for observation in decode_observations(data):
        table.observe(observation, 0)
    return table


def build_probe_table(endpoints: int) -> ProbeTable:
    table = ProbeTable("router-1", 1500)
    for n in range(endpoints):
        answer = ProbeAnswer(f"{n:032x}", "up", Load(1, 2, 3000 + n, 20))
        table.record(f"engine-{n}", answer, 0)
    return table


def build_host_table(count: int) -> HostTable:
    table = HostTable(3000, 2000, random.Random(1))
    for n in range(count):
        address = f"10.0.{n >> 8}.{n & 255}:443"
        heartbeat = HostHeartbeat(f"router-{n}", address, f"zone-{n % 12}", "up", 1)
        table.heartbeat(heartbeat, 0)
    return table


def measure_tables(seed: int) -> list[Result]:
    """Measure memory of the endpoint and probe tables by the number of endpoints."""
    memory = Series("EndpointTable, 3 observers", "bytes", "endpoints")
    probe_memory = Series("ProbeTable", "bytes", "observed endpoints")
    for count in ENDPOINT_COUNTS:
        data = encode_observations(make_observations(count, 3))
        _, allocated = traced_bytes(lambda: build_endpoint_table(data))  # noqa: B023
        memory.add(count, allocated)
        _, allocated = traced_bytes(lambda: build_probe_table(count))  # noqa: B023
        probe_memory.add(count, allocated)
    return [memory, probe_memory]


def measure_heartbeats(seed: int) -> list[Result]:
    """Measure a heartbeat against the number of observations that it carries."""
    send_cost = Series("report, encode heartbeat", "us", "observations")
    receive_cost = Series("decode heartbeat, observe", "us", "observations")
    encoded_size = Series("heartbeat on the wire", "bytes", "observations")
    encoder = msgspec.msgpack.Encoder()
    for count in OBSERVATION_COUNTS:
        probes = build_probe_table(count)

        def encode(probes: ProbeTable = probes) -> bytes:
            data = encode_observations(probes.report(100))
            heartbeat = RouterHeartbeat(
                "router-1", "10.0.0.1:443", "zone-1", "up", 70_000, 9, data
            )
            return encoder.encode(heartbeat)

        encoded = encode()
        table = build_endpoint_table(encode_observations(make_observations(count, 3)))

        def receive_heartbeat(
            encoded: bytes = encoded, table: EndpointTable = table
        ) -> None:
            heartbeat = msgspec.msgpack.decode(encoded, type=RouterHeartbeat)
            for observation in decode_observations(heartbeat.observations):
                table.observe(observation, 100)

        send_cost.add(count, time_us(encode))
        receive_cost.add(count, time_us(receive_heartbeat))
        encoded_size.add(count, len(encoded))
    return [send_cost, receive_cost, encoded_size]


def measure_hosts(seed: int) -> list[Result]:
    """Measure host leases, discovery and assignment by the number of hosts."""
    memory = Series("HostTable", "bytes", "hosts")
    renewal = Series("HostTable.heartbeat", "us", "hosts")
    discovery = Series("discover", "us", "hosts")
    encoded_size = Series("discovery answer", "bytes", "hosts")
    live_lookup = Series("live_routers", "us", "hosts")
    assignment = Series("observed_endpoints, per endpoint", "us", "hosts")
    for count in HOST_COUNTS:
        hosts, allocated = traced_bytes(lambda: build_host_table(count))  # noqa: B023
        memory.add(count, allocated)
        discovered = hosts.discover("zone-1", 10)
        addresses: list[Any] = [
            {"host": one.host, "zone": one.zone, "address": one.address}
            for one in discovered
        ]
        answer = msgspec.json.encode({"addresses": addresses, "ttl_ms": 2000})
        encoded_size.add(count, len(answer))
        discovery.add(count, time_us(lambda: hosts.discover("zone-1", 10)))  # noqa: B023
        live_lookup.add(count, time_us(lambda: hosts.live_routers(10)))  # noqa: B023

        def renew_all(hosts: HostTable = hosts, count: int = count) -> None:
            for n in range(count):
                zone = f"zone-{n % 12}"
                heartbeat = HostHeartbeat(f"router-{n}", "10.0.0.1:443", zone, "up", 2)
                hosts.heartbeat(heartbeat, 20)

        renewal.add(count, time_us(renew_all, count))
        routers = [Router(f"router-{n}", f"zone-{n % 12}") for n in range(count)]
        names = [f"engine-{n}" for n in range(ASSIGNED_ENDPOINTS)]
        assignment.add(
            count,
            time_us(
                lambda: observed_endpoints("router-1", names, routers),  # noqa: B023
                ASSIGNED_ENDPOINTS,
            ),
        )
    return [memory, renewal, discovery, encoded_size, live_lookup, assignment]
