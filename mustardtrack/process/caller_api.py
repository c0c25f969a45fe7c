"""Caller API: completions, services and discovery over HTTP."""

import asyncio
import hmac
from typing import Any

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
from mustardtrack.configuration import Account, hash_key
from mustardtrack.process.callers import (
    BufferedWriter,
    InvalidRequestError,
    ResponseFormatter,
    ResponseWriter,
    StreamWriter,
    parse_completion,
    write_refusal,
)
from mustardtrack.process.completion_job import RefusedError
from mustardtrack.process.completions import CompletionService
from mustardtrack.process.service_requests import ServiceRequest
from mustardtrack.process.services import ServiceCalls
from mustardtrack.process.shared_state import SharedState
from mustardtrack.requests import refuse

DEFAULT_CLASS = "patient"
MAX_DEADLINE_MS = 86_400_000
# Lets a caller fail over when several hosts fail within the time to live.
MAX_ADDRESSES = 16


class CallerApi:
    """HTTP API for callers.

    Args:
        shared: State shared by the requests of this router.
        completions: Runner of completion requests.
        services: Runner of service calls.
    """

    def __init__(
        self,
        shared: SharedState,
        completions: CompletionService,
        services: ServiceCalls,
    ):
        self._shared = shared
        self._completions = completions
        self._services = services
        self._key_index: dict[str, str] = {}
        self._key_index_revision = -1
        self._port: Any = None
        self._tls: ReloadingContextFactory | None = None

    def listen(self, address: str) -> None:
        """Listen on the caller address."""
        app = Klein()
        add_route(app, "/v1/completions", self._handle_completion, methods=["POST"])
        add_route(app, "/v1/chat/completions", self._handle_chat, methods=["POST"])
        add_route(app, "/v1/models", self._list_models, methods=["GET"])
        add_route(app, "/v1/discovery", self._discover, methods=["GET"])
        add_route(app, "/healthz", self._health, methods=["GET"])
        add_route(app, "/v1/services/<service>/<path:path>", self._handle_service_call)
        settings = self._shared.settings
        site = LimitedSite(
            app.resource(),
            settings.timing.caller_idle_ms,
            settings.limits.connections,
            settings.limits.body_bytes,
        )
        self._port, self._tls = listen(site, address, settings.tls)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._port is not None:
            self._port.stopListening()

    def reload_certificates(self) -> None:
        """Reload the TLS certificates."""
        if self._tls is not None:
            self._tls.reload()

    async def _handle_completion(self, request: Request) -> bytes:
        return await self._run_completion(request, chat=False)

    async def _handle_chat(self, request: Request) -> bytes:
        return await self._run_completion(request, chat=True)

    async def _run_completion(self, request: Request, chat: bool) -> bytes:
        try:
            account = self._authenticate(request)
            data = self._read_body(request)
            completion = parse_completion(
                data, chat, self._shared.settings.limits.max_output_tokens
            )
            job = self._completions.create_job(
                account,
                request.getHeader("Mustardtrack-Class") or DEFAULT_CLASS,
                _read_deadline(request),
                completion,
                data,
            )
        except InvalidRequestError as error:
            refusal = refuse("invalid_body", dispatched=False)
            self._shared.count_refusal(refusal)
            return write_refusal(request, refusal, str(error))
        except RefusedError as error:
            self._shared.count_refusal(error.refusal)
            return write_refusal(request, error.refusal, error.detail)
        request.setHeader("Mustardtrack-Request", job.request_id)
        formatter = ResponseFormatter(job.request_id, completion)
        writer: ResponseWriter = BufferedWriter(request, formatter)
        if completion.stream:
            max_stall_ms = self._shared.settings.timing.caller_idle_ms
            writer = StreamWriter(request, formatter, max_stall_ms)
        # A completion may take longer than the idle time-out between requests.
        _set_idle_timeout(request, None)
        task = asyncio.ensure_future(self._completions.run(job, writer))
        _cancel_on_disconnect(request, task)
        try:
            return await task
        except asyncio.CancelledError:
            self._shared.metrics.count("callers.gone")
            return b""
        finally:
            _set_idle_timeout(request, self._shared.settings.timing.caller_idle_ms)

    async def _handle_service_call(
        self, request: Request, service: str, path: str
    ) -> bytes:
        try:
            account = self._authenticate(request)
            query = request.uri.partition(b"?")[2].decode("latin-1")
            call = ServiceRequest(
                account=account,
                service=service,
                method=request.method.decode("latin-1"),
                path=f"/{path}?{query}" if query else f"/{path}",
                headers=_read_headers(request),
                body=self._read_body(request),
                idempotency_key=request.getHeader("Idempotency-Key"),
            )
            _set_idle_timeout(request, None)
            task = asyncio.ensure_future(self._services.run(call))
            self._shared.track_task(task)
            # Klein cancels the handler when the caller disconnects; a dispatched call
            # must still complete, so that its answer is stored for a resend.
            answer = await asyncio.shield(task)
        except RefusedError as error:
            self._shared.count_refusal(error.refusal)
            return write_refusal(request, error.refusal, error.detail)
        finally:
            _set_idle_timeout(request, self._shared.settings.timing.caller_idle_ms)
        request.setResponseCode(answer.status)
        request.setHeader("Content-Type", answer.content_type)
        if answer.stored:
            request.setHeader("Mustardtrack-Stored", "true")
        return answer.body

    async def _list_models(self, request: Request) -> bytes:
        try:
            self._authenticate(request)
        except RefusedError as error:
            self._shared.count_refusal(error.refusal)
            return write_refusal(request, error.refusal)
        models = [
            {"id": name, "object": "model", "owned_by": "mustardtrack", "created": 0}
            for name in sorted(self._shared.configuration.objects("model"))
        ]
        return prepare_json_response(request, 200, {"object": "list", "data": models})

    async def _discover(self, request: Request) -> bytes:
        zone = request.args.get(b"zone", [b""])[0].decode("latin-1")
        now_ms = self._shared.clock.now_ms()
        hosts = self._shared.hosts
        addresses = [
            {"host": entry.host, "zone": entry.zone, "address": entry.address}
            for entry in hosts.discover(zone, now_ms)[:MAX_ADDRESSES]
        ]
        return prepare_json_response(
            request, 200, {"addresses": addresses, "ttl_ms": hosts.ttl_ms}
        )

    async def _health(self, request: Request) -> bytes:
        ready = self._shared.configuration.revision > 0
        body = {
            "name": self._shared.settings.name,
            "phase": self._shared.planned_stop.phase,
            "revision": self._shared.configuration.revision,
        }
        return prepare_json_response(request, 200 if ready else 503, body)

    def _authenticate(self, request: Request) -> Account:
        if self._shared.configuration.revision == 0:
            raise RefusedError(refuse("no_configuration", dispatched=False))
        token = bearer_token(request)
        account = self._find_account(token) if token else None
        if account is None:
            raise RefusedError(refuse("unauthenticated", dispatched=False))
        return account

    def _find_account(self, token: str) -> Account | None:
        """Return the account of a key, which is compared by its hash only."""
        configuration = self._shared.configuration
        accounts: Any = configuration.objects("account")
        if self._key_index_revision != configuration.revision:
            self._key_index_revision = configuration.revision
            self._key_index = {
                digest: account.name
                for account in accounts.values()
                for digest in account.key_hashes
            }
        digest = hash_key(token)
        account = accounts.get(self._key_index.get(digest, ""))
        if account is None:
            return None
        is_valid = any(
            hmac.compare_digest(digest, known) for known in account.key_hashes
        )
        return account if is_valid else None

    def _read_body(self, request: Request) -> bytes:
        if getattr(request, "body_too_large", False):
            raise RefusedError(refuse("body_too_large", dispatched=False))
        return read_content(request)


def _read_deadline(request: Request) -> int | None:
    value = request.getHeader("Mustardtrack-Deadline-Ms")
    if value is None:
        return None
    if not value.isdigit() or not 0 < int(value) <= MAX_DEADLINE_MS:
        raise RefusedError(
            refuse("invalid_header", dispatched=False),
            f"Mustardtrack-Deadline-Ms must be from 1 to {MAX_DEADLINE_MS}.",
        )
    return int(value)


def _set_idle_timeout(request: Request, idle_ms: int | None) -> None:
    """Set the idle time-out of the connection unless it is already closed."""
    if request.channel is not None:
        request.channel.setTimeout(None if idle_ms is None else idle_ms / 1000)


def _read_headers(request: Request) -> dict[str, str]:
    return {
        name.decode("latin-1"): values[0].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }


def _cancel_on_disconnect(request: Request, task: "asyncio.Future[bytes]") -> None:
    """Cancel the task when the connection of the caller is lost."""
    finished = request.notifyFinish()
    finished.addCallbacks(lambda _: None, lambda _: task.cancel() and None)
