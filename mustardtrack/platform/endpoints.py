"""Request targets and JSON bodies of the platform's endpoint and operator APIs."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeGuard
from urllib.parse import urlencode

from mustardtrack.membership.endpoint_list import CacheEvents, ListedEndpoint
from mustardtrack.platform.listings import load_listing
from mustardtrack.platform.values import (
    is_header_text,
    is_integer,
    is_network_address,
    load_object,
)

_DRAINING_BY_STATE = {"ready": False, "draining": True}


def endpoint_list_target(page_token: str | None) -> bytes:
    """Return the request target of one page of the endpoint list."""
    query = f"?{urlencode({'page-token': page_token})}" if page_token else ""
    return f"/instances{query}".encode()


@dataclass(frozen=True)
class EndpointListPage:
    """One page of the endpoint list.

    Attributes:
        entries: Endpoints on the page.
        next_token: Token of the next page, None on the last one.
        skipped: Number of entries that name no endpoint to use.
    """

    entries: list[ListedEndpoint]
    next_token: str | None
    skipped: int


def decode_endpoint_list_page(body: bytes) -> EndpointListPage:
    """Decode one page of the endpoint list.

    Malformed entries are skipped; they do not affect the other entries.

    Raises:
        ValueError: If the page is not a JSON object with a list of instances, or the
            token of the next page is no valid text.
    """
    listing = load_listing(body, "instances", "endpoint list page")
    data = listing.data
    if not isinstance(data.get("instances"), list):
        raise ValueError("endpoint list page has no 'instances' list")
    decoded = [_decode_endpoint(item) for item in data["instances"]]
    entries = [entry for entry in decoded if entry is not None]
    next_token = data.get("next-token")
    if isinstance(next_token, str) and not _is_encodable(next_token):
        raise ValueError("endpoint list page has a 'next-token' that cannot be sent")
    return EndpointListPage(
        entries,
        next_token if isinstance(next_token, str) and next_token else None,
        skipped=listing.skipped + len(decoded) - len(entries),
    )


def _decode_endpoint(item: Any) -> ListedEndpoint | None:
    if not isinstance(item, dict):
        return None
    endpoint_id, address = item.get("id"), item.get("address")
    service, zone = item.get("service"), item.get("zone")
    if not is_header_text(endpoint_id) or not is_network_address(address):
        return None
    if not _is_encodable_text(service) or not _is_encodable_text(zone):
        return None
    state = item.get("state")
    slots = item.get("slots")
    if not isinstance(state, str) or state not in _DRAINING_BY_STATE:
        return None
    if not is_integer(slots):
        return None
    return ListedEndpoint(
        id=endpoint_id,
        started_ms=_decode_start_time(item),
        service=service,
        address=address,
        zone=zone,
        slots=slots,
        is_draining=_DRAINING_BY_STATE[state],
        is_loading=False,
        weights=_decode_weights(item.get("models")),
    )


def _decode_start_time(item: dict[str, Any]) -> int:
    # An endpoint may restart with the same id; the start time identifies the
    # incarnation.
    start_ms = item.get("born")
    return start_ms if is_integer(start_ms) else 0


def _is_encodable_text(value: object) -> TypeGuard[str]:
    """Return whether a value is text that messages between processes can carry."""
    return isinstance(value, str) and bool(value) and _is_encodable(value)


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:  # A lone surrogate, written as an escape in JSON.
        return False
    return True


def _decode_weights(models: Any) -> dict[str, int]:
    if not isinstance(models, list):
        return {}
    return {
        model["name"]: model["version"]
        for model in models
        if isinstance(model, dict)
        and _is_encodable_text(model.get("name"))
        and is_integer(model.get("version"))
    }


def cache_events_target(since: int) -> bytes:
    """Return the request target of the KV cache events after a sequence number."""
    return b"/v1/kv-events?since=%d" % since


CACHE_EVENTS_WAIT_HEADER = b"wait-ms"

CACHE_SNAPSHOT_TARGET = b"/v1/kv-list"

# Cache salt, digest and number of cached tokens of one prompt part.
CacheChange = tuple[str, str, int]


def decode_cache_events(body: bytes) -> CacheEvents:
    """Decode KV cache events; malformed events are skipped.

    Raises:
        ValueError: If the response is not a JSON object with the next event number.
    """
    return _decode_cache_changes(body, "events", _decode_cache_event)


def decode_cache_snapshot(body: bytes) -> CacheEvents:
    """Decode the complete KV cache content as a list of additions.

    Raises:
        ValueError: If the response is not a JSON object with the next event number.
    """
    return _decode_cache_changes(body, "held", _decode_cached_part)


def _decode_cache_changes(
    body: bytes, key: str, decode_item: Callable[[list[Any]], CacheChange | None]
) -> CacheEvents:
    data = load_listing(body, key, "KV cache response").data
    if not is_integer(data.get("next-token")):
        raise ValueError("KV cache response has no integer 'next-token'")
    listed = [] if data.get(key) is None else data[key]
    if not isinstance(listed, list):
        raise ValueError(f"KV cache response has no list {key!r}")
    items = (item for item in listed if isinstance(item, list))
    changes = (decode_item(item) for item in items)
    return CacheEvents(
        # Compared only; text with a lone surrogate could not be sent or logged.
        epoch=ascii(data.get("boot-epoch")),
        following=data["next-token"],
        # The complete list has no "lost" key, so it never reports a gap.
        has_gap=data.get("lost") is True,
        changes=[change for change in changes if change is not None],
    )


def _decode_cache_event(item: list[Any]) -> CacheChange | None:
    if len(item) < 5 or item[1] not in ("+", "-"):
        return None
    part = _decode_cached_part(item[2:])
    if part is None or item[1] == "+":
        return part
    # A removal event has the number of tokens that remain cached, which is
    # ignored: the whole part counts as removed.
    salt, digest, _ = part
    return salt, digest, 0


def _decode_cached_part(item: list[Any]) -> CacheChange | None:
    if len(item) < 3 or not is_integer(item[2]):
        return None
    salt, digest = str(item[0]), str(item[1])
    if not _is_encodable(salt) or not _is_encodable(digest):
        return None
    return salt, digest, item[2]


WEIGHTS_ORDER_TARGET = b"/v1/order"
WEIGHTS_REPORT_TARGET = b"/v1/report"


@dataclass(frozen=True)
class WeightsReport:
    """What an engine reports of its weights.

    Attributes:
        weights: Loaded weights version of each model.
        is_busy: Whether it is carrying out an order, None if it does not say.
        accepted_orders: Number of orders that it has accepted since its start, None
            if it does not say.
    """

    weights: dict[str, int]
    is_busy: bool | None = None
    accepted_orders: int | None = None


def decode_weights_report(body: bytes) -> WeightsReport:
    """Decode the report of an engine.

    Raises:
        ValueError: If the report is not a JSON object.
    """
    data = load_listing(body, "models", "the engine report").data
    busy, accepted = data.get("busy"), data.get("seq")
    return WeightsReport(
        _decode_weights(data.get("models")),
        busy if isinstance(busy, bool) else None,
        accepted if is_integer(accepted) else None,
    )


def encode_weights_order(
    model: str, version: int, holder: str, fence: int, accepted_orders: int | None
) -> bytes:
    """Encode the order to load weights after all running requests have finished.

    Args:
        model: Model whose weights are loaded.
        version: Version to load.
        holder: Control host that sends the order.
        fence: Fencing token of ``holder``.
        accepted_orders: Number of orders that the engine has accepted before this one;
            it refuses the order otherwise, also if it carries it out late. None if the
            number is not known.
    """
    order: dict[str, Any] = {
        "op": "version",
        "model": model,
        "version": version,
        "switch-mode": "queue",
        "holder": holder,
        "fence": fence,
    }
    if accepted_orders is not None:
        order["expected-revision"] = accepted_orders
    return json.dumps(order).encode()


def decode_weights_request(body: bytes) -> tuple[str, int]:
    """Decode an operator's request to set the weights version of a model.

    Raises:
        ValueError: If the body is not JSON or a field is missing or invalid.
    """
    data = load_object(body, "the body")
    model, version = data.get("model"), data.get("version")
    if not _is_encodable_text(model):
        raise ValueError("model must be a non-empty string")
    if not is_integer(version, minimum=1):
        raise ValueError("version must be a positive integer")
    return model, version


def encode_directory_response(addresses: list[str], ttl_s: float) -> bytes:
    """Encode the response of the router directory, valid for ``ttl_s`` seconds."""
    return json.dumps({"addresses": addresses, "ttl-s": ttl_s}).encode()


def encode_error(reason: str) -> bytes:
    """Encode an error body with the reason code of a refusal."""
    return json.dumps({"error": reason}).encode()


READY_TARGET = "/v1/ready"
LOOKUP_TARGET = "/v1/lookup"
DOCUMENT_PUT_TARGET = "/v1/config/put"
DOCUMENT_GET_TARGET = "/v1/config/get"
WEIGHTS_PUT_TARGET = "/v1/version-put"
