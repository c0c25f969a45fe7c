"""Guards against documents that are accepted in part or refused without reason."""

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.platform.manifests import ManifestError, read_manifest

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path-prefix": "/x/",
            "kind": "streaming",
            "timeout-ms": 12000,
            "target-latency-ms": 1000,
            "target-gap-ms": 400,
            "priority": 0,
            "traffic-split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max-attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "path-prefix": "/x/y/",
            "kind": "idempotent",
            "timeout-ms": 600,
            "service": "s2",
        },
    ],
    "services": [
        {
            "name": "s1",
            "max-connections": 370,
            "engine": {
                "slots": 64,
                "kv-capacity-tokens": 159371,
                "kv-token-bytes": 35136,
                "models": [{"name": "m"}],
            },
        },
        {"name": "s2", "max-connections": 110},
        {
            "name": "s3",
            "kv-store-addr": "172.20.0.2:8781",
            "zone": "z",
            "kv-capacity-tokens": 1000,
        },
    ],
    "limits": {"max-header-bytes": 16384, "idle-timeout-ms": 15000},
    "tenants": [
        {"name": "t1", "api-keys": ["k1", "k2"], "priority": 1, "isolated": True}
    ],
}


def encode(**changes):
    return json.dumps({**copy.deepcopy(DOCUMENT), **changes}).encode()


def with_route(**changes):
    document = copy.deepcopy(DOCUMENT)
    document["routes"][0].update(changes)
    return json.dumps(document).encode()


def test_longest_prefix_wins():
    table = read_manifest(encode())
    assert table.match("a.example", "/x/y/z").name == "r-2"
    assert table.match("a.example", "/x/z").name == "r-1"
    assert table.match("a.example", "/q/") is None
    assert table.match("b.example", "/x/") is None


def test_accounts_store_and_limits_are_decoded():
    table = read_manifest(encode())
    assert table.accounts["k2"].name == "t1"
    assert table.accounts["k1"].is_isolated
    assert table.store().kv_store_tokens == 1000
    assert table.limits.idle_timeout_ms == 15000


def test_document_without_accounts_needs_no_keys():
    document = {key: value for key, value in DOCUMENT.items() if key != "tenants"}
    assert read_manifest(json.dumps(document).encode()).accounts is None


@pytest.mark.parametrize(
    "content",
    [
        b"{",
        b"[]",
        encode(version=0),
        encode(version="7"),
        encode(routes=None),
        with_route(service="unknown", **{"traffic-split": None}),
        with_route(**{"traffic-split": [{"service": "s9", "weight": 1}]}),
        with_route(**{"traffic-split": [{"service": "s1", "weight": 0}]}),
        with_route(**{"timeout-ms": 0}),
        with_route(**{"path-prefix": "/x/y/"}),
        with_route(kind="other"),
        encode(
            tenants=[
                {"name": "t1", "api-keys": ["k"]},
                {"name": "t2", "api-keys": ["k"]},
            ]
        ),
    ],
)
def test_invalid_document_is_refused_whole(content):
    with pytest.raises(ManifestError):
        read_manifest(content)


@given(st.binary(max_size=80))
def test_any_bytes_give_a_table_or_a_manifest_error(content):
    try:
        read_manifest(content)
    except ManifestError:
        pass


VALUES = st.none() | st.booleans() | st.integers() | st.text(max_size=5) | st.just([])


@given(st.sampled_from(sorted(DOCUMENT["routes"][0])), VALUES)
def test_foreign_type_in_a_route_is_never_another_error(key, value):
    try:
        read_manifest(with_route(**{key: value}))
    except ManifestError:
        pass
