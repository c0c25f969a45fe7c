"""HTTP API of a control host for operators and for router discovery."""

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec

from mustardtrack.adapters.h11_server import Exchange
from mustardtrack.configuration.documents import (
    DocumentCommand,
    NameWeights,
    PutDocument,
)
from mustardtrack.logs import define_event, log_event
from mustardtrack.platform.endpoints import (
    DOCUMENT_GET_TARGET,
    DOCUMENT_PUT_TARGET,
    LOOKUP_TARGET,
    WEIGHTS_PUT_TARGET,
    decode_weights_request,
    encode_directory_response,
    encode_error,
)
from mustardtrack.platform.headers import retry_after_header
from mustardtrack.platform.manifests import ManifestError, decode_manifest

if TYPE_CHECKING:
    from mustardtrack.process.seeded_control import SeededControlProcess
    from mustardtrack.settings.seeded import Bounds

DOCUMENT_REFUSED = define_event(8921, "WARNING", "configuration document rejected")

REFUSED_PARTS_TARGET = "/v1/refused-parts"
JSON_CONTENT_TYPE = (b"content-type", b"application/json")
RETRY_AFTER_S = 0.2
# Callers must leave a stopping router before its grace period ends.
MAX_DIRECTORY_TTL_S = 2.0


class ControlApi:
    """Handles the HTTP calls to one control host."""

    def __init__(self, control: "SeededControlProcess", bounds: "Bounds"):
        self._control = control
        self._ttl_s = min(MAX_DIRECTORY_TTL_S, bounds.directory_ttl_s)
        self._handlers = {
            (b"GET", LOOKUP_TARGET): self._look_up_routers,
            (b"POST", DOCUMENT_PUT_TARGET): self._put_document,
            (b"GET", DOCUMENT_GET_TARGET): self._get_document,
            (b"POST", WEIGHTS_PUT_TARGET): self._put_weights,
            (b"GET", REFUSED_PARTS_TARGET): self._list_refused_parts,
            (b"DELETE", REFUSED_PARTS_TARGET): self._release_part,
        }

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        handler = self._handlers.get((exchange.method, exchange.path))
        if handler is None:
            exchange.respond(
                404, [JSON_CONTENT_TYPE], encode_error("unknown method or path")
            )
            return
        await handler(exchange)

    async def _look_up_routers(self, exchange: Exchange) -> None:
        query = parse_qs(exchange.query)
        zone = query.get("zone", [""])[0]
        control = self._control
        addresses = control.directory.choose(zone, control.now_ms())
        control.metrics.count("directory.lookup")
        if not addresses:
            self._respond_unavailable(exchange, "no router is known yet")
            return
        body = encode_directory_response(addresses, self._ttl_s)
        exchange.respond(200, [JSON_CONTENT_TYPE], body)

    async def _put_document(self, exchange: Exchange) -> None:
        try:
            table = decode_manifest(exchange.body)
        except ManifestError as error:
            log_event(DOCUMENT_REFUSED, reason=str(error))
            exchange.respond(400, [JSON_CONTENT_TYPE], encode_error(str(error)))
            return
        command = PutDocument(
            table.version,
            exchange.body,
            sorted(table.isolated_accounts),
            sorted(table.sharing_accounts),
        )
        await self._commit(exchange, command)

    async def _get_document(self, exchange: Exchange) -> None:
        reply = await self._control.read_document()
        if not reply.is_linearizable or not reply.version:
            self._respond_unavailable(
                exchange, "this host cannot confirm the newest document"
            )
            return
        exchange.respond(200, [JSON_CONTENT_TYPE], reply.content)

    async def _put_weights(self, exchange: Exchange) -> None:
        try:
            model, version = decode_weights_request(exchange.body)
        except ValueError as error:
            exchange.respond(400, [JSON_CONTENT_TYPE], encode_error(str(error)))
            return
        await self._commit(exchange, NameWeights(model, version))

    async def _list_refused_parts(self, exchange: Exchange) -> None:
        refused = await self._control.read_refused_parts()
        if refused is None:
            self._respond_unavailable(exchange, "the leader does not answer")
            return
        body = msgspec.json.encode(
            {"refused": [msgspec.structs.asdict(refusal) for refusal in refused]}
        )
        exchange.respond(200, [JSON_CONTENT_TYPE], body)

    async def _release_part(self, exchange: Exchange) -> None:
        part = parse_qs(exchange.query).get("part", [""])[0]
        is_released = await self._control.release_part(part)
        if is_released is None:
            self._respond_unavailable(exchange, "the leader does not answer")
        elif is_released:
            exchange.respond(200, [JSON_CONTENT_TYPE], b"{}")
        else:
            reason = f"part {part!r} is not refused; GET lists the refused parts"
            exchange.respond(404, [JSON_CONTENT_TYPE], encode_error(reason))

    async def _commit(self, exchange: Exchange, command: DocumentCommand) -> None:
        """Respond once the command is committed, or with 503 if it is not confirmed."""
        outcome = await self._control.commit(command)
        if outcome is None:
            self._respond_unavailable(
                exchange, "no majority confirmed the command in time"
            )
            return
        exchange.respond(200, [JSON_CONTENT_TYPE], b"{}")

    def _respond_unavailable(self, exchange: Exchange, reason: str) -> None:
        headers = [JSON_CONTENT_TYPE, retry_after_header(RETRY_AFTER_S)]
        exchange.respond(503, headers, encode_error(reason))
