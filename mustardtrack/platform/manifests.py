"""Decoding and validation of the operator's configuration manifests."""

from dataclasses import replace
from typing import Any

from mustardtrack.admission.allotments import Allotment
from mustardtrack.configuration.routes import (
    CallerLimits,
    EngineLimits,
    RetrySafety,
    Route,
    RouteAccount,
    RouteTable,
    Service,
    ServiceShare,
)
from mustardtrack.platform.values import MAX_INTEGER, is_integer, load_object

_RETRY_SAFETY_BY_KIND = {
    "idempotent": RetrySafety.IDEMPOTENT,
    "non_idempotent": RetrySafety.AT_MOST_ONCE,
    "streaming": RetrySafety.STREAM,
}


class ManifestError(Exception):
    """The manifest is invalid; the message names the field and the requirement."""


def decode_manifest(content: bytes) -> RouteTable:
    """Decode and validate a manifest.

    Raises:
        ManifestError: If any part of the manifest is invalid.
    """
    data = _decode_object(content)
    services = {}
    for item in _require_objects(data, "services"):
        service = _decode_service(item)
        if service.name in services:
            raise ManifestError(f"two services have the name {service.name!r}")
        services[service.name] = service
    routes: dict[str, list[Route]] = {}
    seen = set()
    for item in _require_objects(data, "routes"):
        route = _decode_route(item, services)
        host_and_prefix = (route.host, route.path_prefix)
        if host_and_prefix in seen:
            raise ManifestError(
                f"two routes have the same host and path-prefix {host_and_prefix}"
            )
        seen.add(host_and_prefix)
        routes.setdefault(route.host, []).append(route)
    longest_first = {
        host: tuple(sorted(group, key=lambda route: -len(route.path_prefix)))
        for host, group in routes.items()
    }
    table = RouteTable(
        version=_require_version(data),
        routes=longest_first,
        services=services,
        accounts=_decode_accounts(data),
        limits=_decode_limits(data.get("limits")),
    )
    if table.accounts is None:
        return table
    allotments = {
        account.name: account.allotment
        for account in table.accounts.values()
        if account.allotment is not None
    }
    table = replace(table, allotments=allotments)
    isolated, sharing = _decode_isolation(data)
    return replace(table, isolated_accounts=isolated, sharing_accounts=sharing)


def _decode_object(content: bytes) -> dict[str, Any]:
    try:
        return load_object(content, "the manifest")
    except ValueError as error:
        raise ManifestError(str(error)) from error


def _require_version(data: dict[str, Any]) -> int:
    version = data.get("version")
    if not is_integer(version, minimum=1):
        raise ManifestError(f"version must be a positive integer, got {version!r}")
    return version


def _require_objects(data: dict[str, Any], key: str) -> list[dict[str, Any]]:
    value = data.get(key)
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise ManifestError(f"{key} must be a list of objects")
    return value


def _require_string(item: dict[str, Any], key: str) -> str:
    value = item.get(key)
    if not isinstance(value, str) or not value:
        raise ManifestError(f"{key} must be a non-empty string")
    return value


def _decode_number(item: dict[str, Any], key: str, default: float = 0) -> float:
    value = item.get(key, default)
    if value is None:
        value = default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ManifestError(f"{key} must be a number")
    if not 0 <= value <= MAX_INTEGER:
        raise ManifestError(f"{key} must be between 0 and {MAX_INTEGER}")
    return value


def _decode_route(item: dict[str, Any], services: dict[str, Service]) -> Route:
    name = _require_string(item, "name")
    timeout_ms = _decode_number(item, "timeout-ms")
    if timeout_ms <= 0:
        raise ManifestError(f"route {name}: timeout-ms must be greater than 0")
    kind = item.get("kind")
    if not isinstance(kind, str) or kind not in _RETRY_SAFETY_BY_KIND:
        raise ManifestError(f"route {name}: unknown kind {kind!r}")
    return Route(
        name=name,
        host=_require_string(item, "host").lower(),
        path_prefix=_require_string(item, "path-prefix"),
        retry_safety=_RETRY_SAFETY_BY_KIND[kind],
        timeout_ms=int(timeout_ms),
        objective_ms=int(_decode_number(item, "target-latency-ms", timeout_ms)),
        objective_gap_ms=int(_decode_number(item, "target-gap-ms")),
        rank=int(_decode_number(item, "priority")),
        shares=_decode_traffic_split(item, name, services),
        max_attempts=max(1, int(_decode_number(item, "max-attempts", 1))),
        is_public=item.get("public") is True,
        is_resumable=item.get("resumable") is True,
        has_prefix=item.get("sticky") is True,
    )


def _decode_traffic_split(
    item: dict[str, Any], name: str, services: dict[str, Service]
) -> tuple[ServiceShare, ...]:
    if item.get("traffic-split"):
        shares = tuple(
            ServiceShare(
                _require_string(entry, "service"), _decode_number(entry, "weight")
            )
            for entry in _require_objects(item, "traffic-split")
        )
    else:
        shares = (ServiceShare(_require_string(item, "service"), 1.0),)
    for share in shares:
        if share.service not in services:
            raise ManifestError(f"route {name}: unknown service {share.service!r}")
    if sum(share.weight for share in shares) <= 0:
        raise ManifestError(f"route {name}: the weights of traffic-split sum to 0")
    return tuple(share for share in shares if share.weight > 0)


def _decode_service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    kv_store_address = item.get("kv-store-addr")
    return Service(
        name=_require_string(item, "name"),
        max_connections=int(_decode_number(item, "max-connections", 100)),
        engine=None if engine is None else _decode_engine(engine),
        kv_store_address=kv_store_address
        if isinstance(kv_store_address, str)
        else None,
        kv_store_zone=item.get("zone") if isinstance(item.get("zone"), str) else None,
        kv_store_tokens=int(_decode_number(item, "kv-capacity-tokens")),
        kv_store_link_mbps=_decode_number(item, "link-mbps"),
    )


def _decode_engine(item: Any) -> EngineLimits:
    if not isinstance(item, dict):
        raise ManifestError("engine must be an object")
    models = [] if item.get("models") is None else _require_objects(item, "models")
    return EngineLimits(
        slots=int(_decode_number(item, "slots", 1)),
        memory_tokens=int(_decode_number(item, "kv-capacity-tokens")),
        kv_bytes_per_token=int(_decode_number(item, "kv-token-bytes")),
        models=tuple(_require_string(model, "name") for model in models),
        link_mbps=_decode_number(item, "link-mbps"),
    )


def _decode_accounts(data: dict[str, Any]) -> dict[str, RouteAccount] | None:
    if data.get("tenants") is None:
        return None
    accounts: dict[str, RouteAccount] = {}
    for item in _require_objects(data, "tenants"):
        rank = item.get("priority")
        account = RouteAccount(
            name=_require_account_name(item),
            rank=None if rank is None else int(_decode_number(item, "priority")),
            allotment=_decode_allotment(item),
        )
        keys = [] if item.get("api-keys") is None else item["api-keys"]
        if not isinstance(keys, list):
            raise ManifestError(f"tenant {account.name}: api-keys must be a list")
        for key in keys:
            if not isinstance(key, str):
                raise ManifestError(
                    f"tenant {account.name}: each API key must be a string"
                )
            if accounts.setdefault(key, account) is not account:
                raise ManifestError(
                    f"tenant {account.name}: an API key belongs to another tenant"
                )
    return accounts


def _decode_allotment(item: dict[str, Any]) -> Allotment | None:
    rate_per_s = _decode_number(item, "rate-per-s")
    if not rate_per_s:
        return None
    return Allotment(
        rate_per_s=float(rate_per_s),
        burst=float(_decode_number(item, "burst")),
        counts_tokens=item.get("unit") == "tokens",
        tokens_without_usage=int(_decode_number(item, "uncached-tokens")),
    )


def _decode_isolation(data: dict[str, Any]) -> tuple[frozenset[str], frozenset[str]]:
    """Return the accounts that share no cached prefixes, and the others.

    They include accounts without keys, whose earlier prompts may still be cached.
    """
    items = _require_objects(data, "tenants")
    isolated = {item["name"] for item in items if item.get("isolated") is True}
    return frozenset(isolated), frozenset(item["name"] for item in items) - isolated


def _require_account_name(item: dict[str, Any]) -> str:
    name = _require_string(item, "name")
    # Endpoints receive the name in a header.
    if not name.isprintable() or name != name.strip():
        raise ManifestError(
            "a tenant's name must be printable, without spaces at its ends"
        )
    return name


def _decode_limits(item: Any) -> CallerLimits:
    defaults = CallerLimits()
    if item is None:
        return defaults
    if not isinstance(item, dict):
        raise ManifestError("limits must be an object")
    return CallerLimits(
        header_bytes=int(
            _decode_number(item, "max-header-bytes", defaults.header_bytes)
        ),
        body_bytes=int(_decode_number(item, "max-body-bytes", defaults.body_bytes)),
        header_timeout_ms=int(
            _decode_number(item, "header-timeout-ms", defaults.header_timeout_ms)
        ),
        idle_timeout_ms=int(
            _decode_number(item, "idle-timeout-ms", defaults.idle_timeout_ms)
        ),
    )
