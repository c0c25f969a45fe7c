"""Configuration documents of the operator."""

import json
from typing import Any

from mustardtrack.configuration.routes import (
    Account,
    CallerLimits,
    EngineLimits,
    RetrySafety,
    Route,
    RouteTable,
    Service,
    ServiceShare,
)

_REPEATABILITY = {
    "idempotent": RetrySafety.IDEMPOTENT,
    "non_idempotent": RetrySafety.AT_MOST_ONCE,
    "streaming": RetrySafety.STREAM,
}


class ManifestError(Exception):
    """The document is not valid; the message names the field and the remedy."""


def read_manifest(content: bytes) -> RouteTable:
    """Decode and validate a document.

    Raises:
        ManifestError: If any part of it is not valid.
    """
    data = _parse(content)
    services = {}
    for item in _list(data, "services"):
        service = _read_service(item)
        services[service.name] = service
    routes: dict[str, list[Route]] = {}
    places = set()
    for item in _list(data, "routes"):
        route = _read_route(item, services)
        place = (route.host, route.path_prefix)
        if place in places:
            raise ManifestError(f"two routes have host and path-prefix {place}")
        places.add(place)
        routes.setdefault(route.host, []).append(route)
    longest_first = {
        host: tuple(sorted(group, key=lambda route: -len(route.path_prefix)))
        for host, group in routes.items()
    }
    return RouteTable(
        version=_version(data),
        routes=longest_first,
        services=services,
        accounts=_read_accounts(data),
        limits=_read_limits(data.get("limits") or {}),
    )


def _parse(content: bytes) -> dict[str, Any]:
    try:
        data = json.loads(content)
    except ValueError as error:
        raise ManifestError(f"the document is not JSON: {error}") from error
    if not isinstance(data, dict):
        raise ManifestError("the document must be a JSON object")
    return data


def _version(data: dict[str, Any]) -> int:
    version = data.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise ManifestError(f"version {version!r} must be a positive integer")
    return version


def _list(data: dict[str, Any], key: str) -> list[dict[str, Any]]:
    value = data.get(key)
    if not isinstance(value, list) or not all(isinstance(one, dict) for one in value):
        raise ManifestError(f"{key} must be a list of objects")
    return value


def _text(item: dict[str, Any], key: str) -> str:
    value = item.get(key)
    if not isinstance(value, str) or not value:
        raise ManifestError(f"{key} must be a text that is not empty")
    return value


def _number(item: dict[str, Any], key: str, default: float = 0) -> float:
    value = item.get(key, default)
    if value is None:
        value = default
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ManifestError(f"{key} {value!r} must be a number of at least 0")
    return value


def _read_route(item: dict[str, Any], services: dict[str, Service]) -> Route:
    name = _text(item, "name")
    timeout_ms = _number(item, "timeout-ms")
    if timeout_ms <= 0:
        raise ManifestError(f"route {name}: timeout-ms must be above 0")
    kind = item.get("kind")
    if not isinstance(kind, str) or kind not in _REPEATABILITY:
        raise ManifestError(f"route {name}: kind {kind!r} is unknown")
    return Route(
        name=name,
        host=_text(item, "host").lower(),
        path_prefix=_text(item, "path-prefix"),
        retry_safety=_REPEATABILITY[kind],
        timeout_ms=int(timeout_ms),
        objective_ms=int(_number(item, "target-latency-ms", timeout_ms)),
        objective_gap_ms=int(_number(item, "target-gap-ms")),
        rank=int(_number(item, "priority")),
        shares=_read_shares(item, name, services),
        max_attempts=max(1, int(_number(item, "max-attempts", 1))),
        is_public=item.get("public") is True,
        is_resumable=item.get("resumable") is True,
        has_prefix=item.get("sticky") is True,
    )


def _read_shares(
    item: dict[str, Any], name: str, services: dict[str, Service]
) -> tuple[ServiceShare, ...]:
    if item.get("traffic-split"):
        shares = tuple(
            ServiceShare(_text(one, "service"), _number(one, "weight"))
            for one in _list(item, "traffic-split")
        )
    else:
        shares = (ServiceShare(_text(item, "service"), 1.0),)
    for share in shares:
        if share.service not in services:
            raise ManifestError(f"route {name}: service {share.service!r} is unknown")
    if sum(share.weight for share in shares) <= 0:
        raise ManifestError(f"route {name}: the weights add up to 0")
    return tuple(share for share in shares if share.weight > 0)


def _read_service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    kv_store_address = item.get("kv-store-addr")
    return Service(
        name=_text(item, "name"),
        max_connections=int(_number(item, "max-connections", 100)),
        engine=_read_engine(engine) if isinstance(engine, dict) else None,
        kv_store_address=kv_store_address
        if isinstance(kv_store_address, str)
        else None,
        kv_store_zone=item.get("zone") if isinstance(item.get("zone"), str) else None,
        kv_store_tokens=int(_number(item, "kv-capacity-tokens")),
        kv_store_link_mbps=_number(item, "link-mbps"),
    )


def _read_engine(item: dict[str, Any]) -> EngineLimits:
    models = item.get("models") or []
    return EngineLimits(
        slots=int(_number(item, "slots", 1)),
        memory_tokens=int(_number(item, "kv-capacity-tokens")),
        kv_bytes_per_token=int(_number(item, "kv-token-bytes")),
        models=tuple(_text(model, "name") for model in models),
        link_mbps=_number(item, "link-mbps"),
    )


def _read_accounts(data: dict[str, Any]) -> dict[str, Account] | None:
    if data.get("tenants") is None:
        return None
    accounts: dict[str, Account] = {}
    for item in _list(data, "tenants"):
        rank = item.get("priority")
        account = Account(
            name=_text(item, "name"),
            rank=None if rank is None else int(_number(item, "priority")),
            is_isolated=item.get("isolated") is True,
        )
        keys = item.get("api-keys") or []
        if not isinstance(keys, list):
            raise ManifestError(f"tenant {account.name}: api-keys must be a list")
        for key in keys:
            if not isinstance(key, str):
                raise ManifestError(f"tenant {account.name}: a key must be a text")
            if accounts.setdefault(key, account) is not account:
                raise ManifestError(f"tenant {account.name} shares a key with another")
    return accounts


def _read_limits(item: dict[str, Any]) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=int(_number(item, "max-header-bytes", usual.header_bytes)),
        body_bytes=int(_number(item, "max-body-bytes", usual.body_bytes)),
        header_timeout_ms=int(
            _number(item, "header-timeout-ms", usual.header_timeout_ms)
        ),
        idle_timeout_ms=int(_number(item, "idle-timeout-ms", usual.idle_timeout_ms)),
    )
