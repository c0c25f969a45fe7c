"""The platform's list of endpoints, and orders to them."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

from mustardtrack.membership.endpoint_list import CacheEvents, ListedEndpoint

_STATES = {"ready": False, "draining": True}


def list_target(page: str | None) -> bytes:
    """Return the request target of one page of the list."""
    query = f"?{urlencode({'page-token': page})}" if page else ""
    return f"/instances{query}".encode()


def read_list_page(body: bytes) -> tuple[list[ListedEndpoint], str | None]:
    """Decode one page of the list and the token of the next page.

    An entry that cannot be read names no endpoint and hides no other.

    Raises:
        ValueError: If the page as a whole cannot be read.
    """
    data = json.loads(body)
    if not isinstance(data, dict) or not isinstance(data.get("instances"), list):
        raise ValueError("the page holds no list of instances")
    entries = (_read_entry(item) for item in data["instances"])
    following = data.get("next-token")
    return (
        [entry for entry in entries if entry is not None],
        following if isinstance(following, str) and following else None,
    )


def _read_entry(item: Any) -> ListedEndpoint | None:
    if not isinstance(item, dict):
        return None
    texts = [item.get(key) for key in ("id", "service", "address", "zone")]
    if not all(isinstance(text, str) and text for text in texts):
        return None
    state = item.get("state")
    slots = item.get("slots")
    if (
        not isinstance(state, str)
        or state not in _STATES
        or not isinstance(slots, int)
        or isinstance(slots, bool)
    ):
        return None
    if ":" not in item["address"]:
        return None
    identity, service, address, zone = texts
    return ListedEndpoint(
        id=str(identity),
        started_ms=_read_start(item),
        service=str(service),
        address=str(address),
        zone=str(zone),
        slots=slots,
        is_draining=_STATES[state],
        is_loading=False,
        weights=_read_weights(item.get("models")),
    )


def _read_start(item: dict[str, Any]) -> int:
    # An endpoint may restart under its id; the time of its start tells them apart.
    born = item.get("born")
    return born if isinstance(born, int) and not isinstance(born, bool) else 0


def _read_weights(models: Any) -> dict[str, int]:
    if not isinstance(models, list):
        return {}
    return {
        model["name"]: model["version"]
        for model in models
        if isinstance(model, dict)
        and isinstance(model.get("name"), str)
        and isinstance(model.get("version"), int)
    }


def events_target(since: int) -> bytes:
    """Return the request target of the cache events after a number."""
    return b"/v1/kv-events?since=%d" % since


EVENTS_WAIT_HEADER = b"wait-ms"


CACHE_LIST_TARGET = b"/v1/kv-list"

# Salt, digest and remaining tokens of one part.
PartChange = tuple[str, str, int]


def read_cache_events(body: bytes) -> CacheEvents:
    """Decode cache events; an event that cannot be read is left out.

    Raises:
        ValueError: If the answer as a whole cannot be read.
    """
    return _read_changes(body, "events", _read_event)


def read_cache_list(body: bytes) -> CacheEvents:
    """Decode everything that a cache holds, as events that lead to it.

    Raises:
        ValueError: If the answer as a whole cannot be read.
    """
    return _read_changes(body, "held", _read_held)


def _read_changes(
    body: bytes, key: str, read: Callable[[list[Any]], PartChange | None]
) -> CacheEvents:
    data = json.loads(body)
    if not isinstance(data, dict) or not isinstance(data.get("next-token"), int):
        raise ValueError("the answer names no next event")
    items = (item for item in data.get(key) or [] if isinstance(item, list))
    changes = (read(item) for item in items)
    return CacheEvents(
        epoch=str(data.get("boot-epoch")),
        following=data["next-token"],
        # A list of everything that is held names no lost events.
        has_gap=data.get("lost") is True,
        changes=[change for change in changes if change is not None],
    )


def _read_event(item: list[Any]) -> PartChange | None:
    if len(item) < 5 or item[1] not in ("+", "-"):
        return None
    part = _read_held(item[2:])
    if part is None or item[1] == "+":
        return part
    # A removal states the tokens that are left, of which none are counted.
    salt, digest, _ = part
    return salt, digest, 0


def _read_held(item: list[Any]) -> PartChange | None:
    if len(item) < 3 or not isinstance(item[2], int):
        return None
    return str(item[0]), str(item[1]), item[2]


ORDER_TARGET = b"/v1/order"
REPORT_TARGET = b"/v1/report"


def read_report(body: bytes) -> dict[str, int]:
    """Decode the weights that an engine reports.

    Raises:
        ValueError: If it cannot be read.
    """
    data = json.loads(body)
    if not isinstance(data, dict):
        raise ValueError("the report must be a JSON object")
    return _read_weights(data.get("models"))


def encode_weights_order(model: str, version: int, holder: str, fence: int) -> bytes:
    """Encode the order to load weights once the requests that run have ended."""
    order = {
        "op": "version",
        "model": model,
        "version": version,
        "switch-mode": "queue",
        "holder": holder,
        "fence": fence,
    }
    return json.dumps(order).encode()


def read_weights_request(body: bytes) -> tuple[str, int]:
    """Decode the operator's naming of a weights version.

    Raises:
        ValueError: If it cannot be read.
    """
    data = json.loads(body)
    if not isinstance(data, dict):
        raise ValueError("the body must be a JSON object")
    model, version = data.get("model"), data.get("version")
    if not isinstance(model, str) or not model:
        raise ValueError("model must be a text")
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise ValueError("version must be a positive integer")
    return model, version


def encode_directory_answer(addresses: list[str], ttl_s: float) -> bytes:
    """Encode the answer to a caller that asks where to connect."""
    return json.dumps({"addresses": addresses, "ttl-s": ttl_s}).encode()


def encode_error(reason: str) -> bytes:
    """Encode the reason of a refusal."""
    return json.dumps({"error": reason}).encode()


READY_TARGET = "/v1/ready"
LOOKUP_TARGET = "/v1/lookup"
DOCUMENT_PUT_TARGET = "/v1/config/put"
DOCUMENT_GET_TARGET = "/v1/config/get"
WEIGHTS_PUT_TARGET = "/v1/version-put"
