"""Objects of the configuration and the validation of their fields."""

import re
from collections.abc import Mapping
from dataclasses import MISSING, asdict, dataclass, fields, replace
from hashlib import blake2b
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from mustardtrack.settings.seeded import split_address

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,126}\Z"
KEY_HASH_PATTERN = r"^[0-9a-f]{64}\Z"

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
KeyHash = Annotated[str, Meta(pattern=KEY_HASH_PATTERN)]
Rate = Annotated[float, Meta(gt=0, le=1e9)]
Count = Annotated[int, Meta(ge=1, le=10**9)]


@dataclass(frozen=True, slots=True)
class Account:
    """Client account.

    ``weight`` is its weight in fair queueing among accounts.
    """

    name: Name
    version: int
    key_hashes: Annotated[tuple[KeyHash, ...], Meta(max_length=64)] = ()
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    max_concurrent: Count = 64
    tokens_per_second: Rate = 100_000.0
    requests_per_second: Rate = 100.0


@dataclass(frozen=True, slots=True)
class WorkClass:
    """Priority class of requests; rank 0 is the most urgent."""

    name: Name
    version: int
    rank: Annotated[int, Meta(ge=0, le=100)]
    floor_share: Annotated[float, Meta(ge=0, le=1)] = 0.0
    deadline_ms: Annotated[int, Meta(ge=1, le=86_400_000)] = 60_000


@dataclass(frozen=True, slots=True)
class Model:
    """Model and the version of its weights in use."""

    name: Name
    version: int
    weights_version: Name


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Model engine or plain service.

    ``serves`` lists the models of an engine or the services of a plain service.
    ``checks_fencing`` tells whether it rejects orders with a stale fencing token.
    """

    name: Name
    version: int
    kind: Literal["engine", "service"]
    address: str
    zone: Name
    serves: Annotated[tuple[Name, ...], Meta(max_length=256)] = ()
    checks_fencing: bool = False
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Host:
    """Host that runs a router."""

    name: Name
    version: int
    address: str
    zone: Name
    draining: bool = False


@dataclass(frozen=True, slots=True)
class WeightLoad:
    """Pending order to load weights; its name is ``ENDPOINT#FENCE``."""

    name: str
    version: int
    endpoint: str
    model: str
    weights_version: str
    fence: int


@dataclass(frozen=True, slots=True)
class QuarantinedFingerprint:
    """Request fingerprint that must not be run; its name is the fingerprint."""

    name: str
    version: int


ConfigObject = (
    Account | WorkClass | Model | Endpoint | Host | WeightLoad | QuarantinedFingerprint
)

OPERATOR_KINDS: dict[str, type] = {
    "account": Account,
    "class": WorkClass,
    "model": Model,
    "endpoint": Endpoint,
    "host": Host,
}
KINDS: dict[str, type] = {
    **OPERATOR_KINDS,
    "load": WeightLoad,
    "quarantine": QuarantinedFingerprint,
}
FIELDS: dict[str, tuple[str, ...]] = {
    kind: tuple(
        field.name for field in fields(cls) if field.name not in ("name", "version")
    )
    for kind, cls in OPERATOR_KINDS.items()
}


class FieldError(ValueError):
    """Invalid value of a field.

    The texts never contain the value, because it may be a secret
    sent by mistake.

    Attributes:
        path: Field name.
        reason: What is wrong.
        remedy: How to correct it.
    """

    def __init__(self, path: str, reason: str, remedy: str):
        super().__init__(f"{path}: {reason}, {remedy}")
        self.path = path
        self.reason = reason
        self.remedy = remedy


def hash_key(key: str) -> str:
    """Return the stored form of a client account key (BLAKE2b, 64 hex digits).

    Examples:
        >>> len(hash_key("a key"))
        64
    """
    return blake2b(key.encode(), digest_size=32).hexdigest()


def build_object(
    kind: str, name: str, version: int, values: Mapping[str, Any]
) -> ConfigObject:
    """Build a validated object from field values.

    Raises:
        FieldError: If a field is unknown, missing or out of range.

    Examples:
        >>> build_object("model", "base", 1, {"weights_version": "v1"})
        Model(name='base', version=1, weights_version='v1')
    """
    _check_field_names(kind, values)
    try:
        built: ConfigObject = msgspec.convert(
            {"name": name, "version": version, **values}, OPERATOR_KINDS[kind]
        )
    except msgspec.ValidationError as error:
        raise _convert_validation_error(error) from None
    _check_address(built)
    return built


def update_object(
    kind: str, current: ConfigObject, values: Mapping[str, Any]
) -> ConfigObject:
    """Return the next version of an object with some fields replaced.

    Raises:
        FieldError: If a field is unknown or out of range.
    """
    known = asdict(current)
    name, version = known.pop("name"), known.pop("version")
    _check_field_names(kind, values)
    return build_object(kind, name, version + 1, {**known, **values})


def with_draining(
    current: Endpoint | Host, draining: bool, version: int
) -> Endpoint | Host:
    """Return a new version of an endpoint or host with ``draining`` set."""
    return replace(current, draining=draining, version=version)


def is_valid_name(text: str) -> bool:
    """Return whether a text is a valid object name.

    Examples:
        >>> is_valid_name("engine-1"), is_valid_name("two words")
        (True, False)
    """
    return re.match(NAME_PATTERN, text) is not None


def make_row(item: ConfigObject) -> dict[str, Any]:
    """Return an object as a row of a query result; tuples become lists.

    Examples:
        >>> make_row(Model("base", 3, "v1"))
        {'name': 'base', 'version': 3, 'weights_version': 'v1'}
    """
    return {
        key: list(value) if isinstance(value, tuple) else value
        for key, value in asdict(item).items()
    }


def _check_field_names(kind: str, values: Mapping[str, Any]) -> None:
    allowed = FIELDS[kind]
    for field in values:
        if field not in allowed:
            raise FieldError(
                "fields", f"{kind} has no such field", f"use {', '.join(allowed)}"
            )


def _check_address(built: ConfigObject) -> None:
    if not isinstance(built, Endpoint | Host):
        return
    try:
        split_address(built.address)
    except ValueError:
        raise FieldError("address", "not an address", "write IP:PORT") from None


def _convert_validation_error(error: msgspec.ValidationError) -> FieldError:
    """Convert a msgspec error, whose text contains the path but not the value."""
    text = str(error)
    missing_field = re.search(r"missing required field `(\w+)`", text)
    if missing_field:
        return FieldError(
            missing_field[1], "required field is missing", "add the field"
        )
    path_match = re.search(r" - at `\$\.(\w+)", text)
    path = path_match[1] if path_match else "fields"
    reason = text.split(" - at ")[0]
    return FieldError(path, reason, "correct the value")


def list_required_fields(kind: str) -> tuple[str, ...]:
    """Return the fields without a default, which ``create`` requires."""
    return tuple(
        field.name
        for field in fields(OPERATOR_KINDS[kind])
        if field.name in FIELDS[kind] and field.default is MISSING
    )
