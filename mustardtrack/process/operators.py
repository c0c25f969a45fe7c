"""Operator API: queries and commands over HTTP on a separate port."""

import hmac
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from klein import Klein
from twisted.web.server import Request

from mustardtrack.adapters.klein_server import (
    LimitedSite,
    ReloadingContextFactory,
    add_route,
    bearer_token,
    listen,
    prepare_json_response,
    read_content,
)
from mustardtrack.agreement import FormationRefusedError
from mustardtrack.configuration import (
    Accepted,
    ConfigObject,
    Conflict,
    Exists,
    Invalid,
    Outcome,
    UnknownObject,
    hash_key,
    make_row,
)
from mustardtrack.language import (
    SOURCE_KINDS,
    LanguageError,
    Query,
    evaluate,
    parse,
    render_table,
)
from mustardtrack.logs import define_event, log_event
from mustardtrack.process.control_client import ControlClient, ControlUnavailableError
from mustardtrack.settings import Settings

COMMAND_ACCEPTED = define_event(8701, "INFO", "operator command accepted")
COMMAND_REFUSED = define_event(8702, "INFO", "operator command rejected")

COMMAND_TIMEOUT_MS = 6000
MAX_CONNECTIONS = 64
MAX_BODY_BYTES = 262_144
IDLE_TIMEOUT_MS = 30_000
# A working leader confirms the configuration several times within this interval.
STALE_WARNING_MS = 3000
HIDDEN_FIELDS = ("key_hashes",)
QUARANTINED_ROW = {
    "request": "",
    "state": "quarantined",
    "account": "",
    "class": "",
    "endpoint": "",
    "age_ms": None,
}


@dataclass(frozen=True)
class RowSource:
    """Sources of the rows that queries can read.

    Attributes:
        objects: Returns the configured objects of a kind.
        hosts: Returns one row for each known router.
        endpoints: Returns the observed fields of each endpoint by name.
        requests: Returns one row for each open request.
        counters: Returns the counters of this process.
        revision: Returns the current revision of this process.
        stale_ms: Returns the time since a leader confirmed the configuration.
        quarantined: Returns the quarantined fingerprints.
    """

    objects: Callable[[str], Mapping[str, ConfigObject]]
    hosts: Callable[[], list[dict[str, Any]]]
    endpoints: Callable[[], dict[str, dict[str, Any]]]
    requests: Callable[[], list[dict[str, Any]]]
    counters: Callable[[], Mapping[str, int]]
    revision: Callable[[], int]
    stale_ms: Callable[[], int]
    quarantined: Callable[[], frozenset[str]]

    def rows(self, source: str) -> list[dict[str, Any]]:
        """Return the rows of a source of the query language."""
        if source == "requests":
            return self.requests() + [
                QUARANTINED_ROW | {"fingerprint": one}
                for one in sorted(self.quarantined())
            ]
        if source == "reasons":
            return [
                {"reason": name, "count": count}
                for name, count in sorted(self.counters().items())
                if name.startswith(("refusal.", "retry.", "event.", "answers."))
            ]
        objects = self.objects(SOURCE_KINDS[source])
        rows = [_without_hidden_fields(make_row(item)) for item in objects.values()]
        if source == "hosts":
            return _join_host_rows(rows, self.hosts())
        if source == "endpoints":
            observed = self.endpoints()
            return [row | observed.get(row["name"], {}) for row in rows]
        return rows


class CommandBody(msgspec.Struct):
    """Body of ``POST /operator/command``."""

    text: str
    command_id: str = ""
    operator: str = "operator"


class OperatorApi:
    """Serves the operator API.

    Args:
        settings: Settings of the process.
        control: Client of the control group.
        rows: Rows for queries.
        form_group: Forms the control group, None in routers.
        status: Returns the status of this process.
    """

    def __init__(
        self,
        settings: Settings,
        control: ControlClient,
        rows: RowSource,
        form_group: Callable[[], Awaitable[list[tuple[str, str]]]] | None,
        status: Callable[[], dict[str, Any]],
    ):
        self._settings = settings
        self._control = control
        self._rows = rows
        self._form_group = form_group
        self._status = status
        self._port: Any = None
        self._tls: ReloadingContextFactory | None = None

    def listen(self, address: str) -> None:
        """Open the operator port."""
        app = Klein()
        add_route(app, "/operator/command", self._execute_command, methods=["POST"])
        add_route(app, "/operator/status", self._show_status, methods=["GET"])
        add_route(app, "/operator/form", self._handle_formation, methods=["POST"])
        site = LimitedSite(
            app.resource(), IDLE_TIMEOUT_MS, MAX_CONNECTIONS, MAX_BODY_BYTES
        )
        self._port, self._tls = listen(site, address, self._settings.tls)

    async def stop(self) -> None:
        """Close the port."""
        if self._port is not None:
            self._port.stopListening()

    def reload_certificates(self) -> None:
        """Reload the TLS files."""
        if self._tls is not None:
            self._tls.reload()

    def _is_authenticated(self, request: Request) -> bool:
        token = bearer_token(request)
        if token is None:
            return False
        digest = hash_key(token)
        return any(
            hmac.compare_digest(digest, known)
            for known in self._settings.operator_token_hashes
        )

    async def _execute_command(self, request: Request) -> bytes:
        if not self._is_authenticated(request):
            return _unauthenticated_response(request)
        if getattr(request, "body_too_large", False):
            return _error_response(
                request, 413, "body_too_large", "send one command at a time"
            )
        try:
            body = msgspec.json.decode(read_content(request), type=CommandBody)
            parsed = parse(body.text, body.command_id, body.operator)
            if isinstance(parsed, Query):
                return self._answer_query(request, parsed)
        except LanguageError as error:
            return _language_error_response(request, error)
        except msgspec.DecodeError as error:
            return _error_response(
                request, 400, str(error), "send JSON with the field text"
            )
        if not body.command_id:
            return _error_response(
                request, 400, "command_id is missing", "send a unique id"
            )
        try:
            outcome = await self._control.submit(parsed, COMMAND_TIMEOUT_MS)
        except ControlUnavailableError as error:
            remedy = "resend it with the same command_id"
            return _error_response(request, 503, str(error), remedy)
        return self._answer_command(request, body, outcome)

    def _answer_query(self, request: Request, query: Query) -> bytes:
        table = evaluate(query, self._rows.rows(query.source))
        rows = [dict(zip(table.columns, row, strict=True)) for row in table.rows]
        text = render_table(table) if table.columns else "no rows"
        if self._rows.stale_ms() > STALE_WARNING_MS:
            text += f"\nstale: not confirmed by a leader for {self._rows.stale_ms()} ms"
        answer = {
            "rows": rows,
            "text": text,
            "source": self._settings.name,
            "revision": self._rows.revision(),
            "stale_ms": self._rows.stale_ms(),
        }
        return prepare_json_response(request, 200, answer)

    def _answer_command(
        self, request: Request, body: CommandBody, outcome: Outcome
    ) -> bytes:
        fields = msgspec.to_builtins(outcome)
        if isinstance(outcome, Accepted):
            log_event(
                COMMAND_ACCEPTED,
                operator=body.operator,
                command_id=body.command_id,
                revision=outcome.revision,
            )
            text = f"accepted: revision {outcome.revision}, version {outcome.version}"
            return prepare_json_response(request, 200, fields | {"text": text})
        log_event(COMMAND_REFUSED, operator=body.operator, outcome=fields["type"])
        message, remedy = _describe_rejection(outcome)
        error = {"message": message, "remedy": remedy, "outcome": fields}
        return prepare_json_response(request, 409, {"error": error})

    async def _show_status(self, request: Request) -> bytes:
        if not self._is_authenticated(request):
            return _unauthenticated_response(request)
        return prepare_json_response(request, 200, self._status())

    async def _handle_formation(self, request: Request) -> bytes:
        if not self._is_authenticated(request):
            return _unauthenticated_response(request)
        if self._form_group is None:
            return _error_response(
                request,
                404,
                "routers cannot form a control group",
                "send the request to a control process",
            )
        try:
            voters = await self._form_group()
        except FormationRefusedError as error:
            return _error_response(request, 409, str(error), "")
        names = ", ".join(name for name, _ in voters)
        return prepare_json_response(
            request, 200, {"voters": voters, "text": f"formed: {names}"}
        )


def _without_hidden_fields(row: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in row.items() if name not in HIDDEN_FIELDS}


def _join_host_rows(
    rows: list[dict[str, Any]], router_rows: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Join configured hosts with the routers that send heartbeats."""
    joined = {row["name"]: row for row in rows}
    for row in router_rows:
        joined[row["name"]] = joined.get(row["name"], {}) | row
    return list(joined.values())


def _describe_rejection(outcome: Outcome) -> tuple[str, str]:
    match outcome:
        case Conflict(current_version, set_by):
            author = set_by or "nobody"
            return (
                f"the object has version {current_version}, set by {author}",
                "read the object again and retry with its version",
            )
        case UnknownObject(kind, name):
            return f"there is no {kind} {name!r}", "create it or correct the name"
        case Exists(kind, name, version):
            return (
                f"{kind} {name!r} exists with version {version}",
                "use set to change it",
            )
        case Invalid(path, reason, remedy):
            return f"{path}: {reason}", remedy
    return f"unexpected outcome {outcome!r}", "report this to the developers"


def _unauthenticated_response(request: Request) -> bytes:
    remedy = "send an operator token as bearer token"
    return _error_response(
        request, 401, "the operator token is missing or unknown", remedy
    )


def _language_error_response(request: Request, error: LanguageError) -> bytes:
    body = {
        "message": str(error),
        "column": error.column,
        "found": error.found,
        "expected": list(error.expected),
    }
    return prepare_json_response(request, 400, {"error": body})


def _error_response(request: Request, status: int, message: str, remedy: str) -> bytes:
    return prepare_json_response(
        request, status, {"error": {"message": message, "remedy": remedy}}
    )
