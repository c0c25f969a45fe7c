"""Guards against manifests that are applied in part or rejected without a reason."""

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.admission.allotments import Allotment
from mustardtrack.platform.manifests import ManifestError, decode_manifest

MANIFEST = {
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


def encode_manifest(**changes):
    return json.dumps({**copy.deepcopy(MANIFEST), **changes}).encode()


# Kind and ``resumable`` of a route: whether its requests may run again, and whether
# their answers may be resumed.
REPETITION = {
    ("non_idempotent", False): (False, False),
    ("non_idempotent", True): (False, False),
    ("idempotent", False): (True, False),
    ("idempotent", True): (True, False),
    ("streaming", False): (False, False),
    ("streaming", True): (True, True),
}


@pytest.mark.parametrize("attempts", [1, 3])
@pytest.mark.parametrize("gap_ms", [0, 400])
@pytest.mark.parametrize("is_public", [False, True])
@pytest.mark.parametrize("is_sticky", [False, True])
@pytest.mark.parametrize(("kind", "is_resumable"), REPETITION)
def test_flags_of_streams_leave_other_kinds_as_they_are(
    kind, is_resumable, is_sticky, is_public, gap_ms, attempts
):
    """Guards against bookings that may be repeated because of a flag of streams.

    Manifests with such routes were acknowledged and stored, so that they must load.
    """
    flags = {
        "resumable": is_resumable,
        "sticky": is_sticky,
        "public": is_public,
        "target-gap-ms": gap_ms,
        "max-attempts": attempts,
    }
    table = decode_manifest(encode_manifest_with_route(kind=kind, **flags))
    route = next(one for one in table.routes["a.example"] if one.name == "r-1")
    assert (route.may_retry, route.may_resume) == REPETITION[kind, is_resumable]


def encode_manifest_with_route(**changes):
    manifest = copy.deepcopy(MANIFEST)
    manifest["routes"][0].update(changes)
    return json.dumps(manifest).encode()


def test_longest_path_prefix_matches():
    table = decode_manifest(encode_manifest())
    assert table.match("a.example", "/x/y/z").name == "r-2"
    assert table.match("a.example", "/x/z").name == "r-1"
    assert table.match("a.example", "/q/") is None
    assert table.match("b.example", "/x/") is None


def test_accounts_kv_store_and_limits_are_decoded():
    table = decode_manifest(encode_manifest())
    assert table.accounts["k2"].name == "t1"
    assert table.isolated_accounts == {table.accounts["k1"].name}
    assert table.stores()[0].kv_store_tokens == 1000
    assert table.limits.idle_timeout_ms == 15000


def test_manifest_without_tenants_has_no_accounts():
    manifest = {key: value for key, value in MANIFEST.items() if key != "tenants"}
    assert decode_manifest(json.dumps(manifest).encode()).accounts is None


@pytest.mark.parametrize(
    "content",
    [
        b"{",
        b"[]",
        encode_manifest(version=0),
        encode_manifest(version="7"),
        encode_manifest(routes=None),
        encode_manifest_with_route(service="unknown", **{"traffic-split": None}),
        encode_manifest_with_route(
            **{"traffic-split": [{"service": "s9", "weight": 1}]}
        ),
        encode_manifest_with_route(
            **{"traffic-split": [{"service": "s1", "weight": 0}]}
        ),
        encode_manifest_with_route(**{"timeout-ms": 0}),
        encode_manifest_with_route(**{"path-prefix": "/x/y/"}),
        encode_manifest_with_route(kind="other"),
        encode_manifest(
            tenants=[
                {"name": "t1", "api-keys": ["k"]},
                {"name": "t2", "api-keys": ["k"]},
            ]
        ),
    ],
)
def test_invalid_manifest_is_rejected(content):
    with pytest.raises(ManifestError):
        decode_manifest(content)


@given(st.binary(max_size=80))
def test_arbitrary_bytes_raise_only_manifest_errors(content):
    try:
        decode_manifest(content)
    except ManifestError:
        pass


JSON_VALUES = (
    st.none() | st.booleans() | st.integers() | st.text(max_size=5) | st.just([])
)


@given(st.sampled_from(sorted(MANIFEST["routes"][0])), JSON_VALUES)
def test_unexpected_route_value_raises_only_manifest_errors(key, value):
    try:
        decode_manifest(encode_manifest_with_route(**{key: value}))
    except ManifestError:
        pass


def test_allotments_of_accounts_are_decoded():
    """Guards against accounts whose limits are not known."""
    tenants = [
        {"name": "a", "api-keys": ["k1"], "rate-per-s": 335613, "burst": 5.5}
        | {"unit": "tokens", "uncached-tokens": 200},
        {"name": "b", "api-keys": ["k2"], "rate-per-s": 2.5},
        {"name": "c", "api-keys": ["k3"], "rate-per-s": 0, "burst": 9},
        {"name": "d", "api-keys": ["k4"]},
    ]
    table = decode_manifest(json.dumps({**MANIFEST, "tenants": tenants}).encode())
    assert table.allotments == {
        "a": Allotment(335_613.0, 5.5, True, 200),
        "b": Allotment(2.5, 0.0),
    }
    assert table.accounts["k1"].allotment.amount(1000, 24) == 1024
    assert table.accounts["k2"].allotment.amount(1000, 24) == 1
    assert table.accounts["k3"].allotment is None


@pytest.mark.parametrize("value", ["5", -1, True, [1]])
def test_bad_rate_of_an_account_is_refused(value):
    tenants = [{"name": "a", "api-keys": ["k"], "rate-per-s": value}]
    with pytest.raises(ManifestError, match="rate-per-s"):
        decode_manifest(json.dumps({**MANIFEST, "tenants": tenants}).encode())
