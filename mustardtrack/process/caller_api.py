"""Caller API: completions, services and discovery over HTTP."""

import asyncio
import hmac
from typing import Any

from klein import Klein
from twisted.web.server import Request

from mustardtrack.adapters.http_server import (
    LimitedSite,
    ReloadingContextFactory,
    add_route,
    bearer_token,
    listen,
    read_content,
    write_json,
)
from mustardtrack.configuration import Account, hash_key
from mustardtrack.process.callers import (
    Formatter,
    InvalidRequestError,
    ResponseWriter,
    StreamWriter,
    WholeWriter,
    parse_completion,
    write_refusal,
)
from mustardtrack.process.completions import CompletionService
from mustardtrack.process.jobs import RefusedError
from mustardtrack.process.service_requests import ServiceRequest
from mustardtrack.process.services import ServiceCalls
from mustardtrack.process.traffic import Traffic
from mustardtrack.requests import refuse

DEFAULT_CLASS = "patient"
MAX_DEADLINE_MS = 86_400_000
# Enough for a caller to go on when several hosts fail within the time to live.
MAX_ADDRESSES = 16


class CallerApi:
    """Serves callers.

    Args:
        traffic: Shared state of the router.
        completions: Runs completion requests.
        services: Runs service calls.
    """

    def __init__(
        self,
        traffic: Traffic,
        completions: CompletionService,
        services: ServiceCalls,
    ):
        self._traffic = traffic
        self._completions = completions
        self._services = services
        self._accounts: dict[str, str] = {}
        self._accounts_revision = -1
        self._port: Any = None
        self._tls: ReloadingContextFactory | None = None

    def listen(self, address: str) -> None:
        """Open the caller port."""
        app = Klein()
        add_route(app, "/v1/completions", self._complete, methods=["POST"])
        add_route(app, "/v1/chat/completions", self._chat, methods=["POST"])
        add_route(app, "/v1/models", self._list_models, methods=["GET"])
        add_route(app, "/v1/discovery", self._discover, methods=["GET"])
        add_route(app, "/healthz", self._health, methods=["GET"])
        add_route(app, "/v1/services/<service>/<path:path>", self._call)
        settings = self._traffic.settings
        site = LimitedSite(
            app.resource(),
            settings.timing.caller_idle_ms,
            settings.limits.connections,
            settings.limits.body_bytes,
        )
        self._port, self._tls = listen(site, address, settings.tls)

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._port is not None:
            self._port.stopListening()

    def reload_certificates(self) -> None:
        """Read the TLS files again."""
        if self._tls is not None:
            self._tls.reload()

    async def _complete(self, request: Request) -> bytes:
        return await self._run_completion(request, chat=False)

    async def _chat(self, request: Request) -> bytes:
        return await self._run_completion(request, chat=True)

    async def _run_completion(self, request: Request, chat: bool) -> bytes:
        try:
            account = self._authenticate(request)
            data = self._read_body(request)
            completion = parse_completion(
                data, chat, self._traffic.settings.limits.max_output_tokens
            )
            job = self._completions.create_job(
                account,
                request.getHeader("Mustardtrack-Class") or DEFAULT_CLASS,
                _read_deadline(request),
                completion,
                data,
            )
        except InvalidRequestError as error:
            error_refusal = refuse("invalid_body", dispatched=False)
            self._traffic.count_refusal(error_refusal)
            return write_refusal(request, error_refusal, str(error))
        except RefusedError as error:
            self._traffic.count_refusal(error.refusal)
            return write_refusal(request, error.refusal, error.detail)
        request.setHeader("Mustardtrack-Request", job.request_id)
        formatter = Formatter(job.request_id, completion)
        writer: ResponseWriter = WholeWriter(request, formatter)
        if completion.stream:
            stall_ms = self._traffic.settings.timing.caller_idle_ms
            writer = StreamWriter(request, formatter, stall_ms)
        # A completion response may take longer than the idle limit between requests.
        _set_idle_limit(request, None)
        work = asyncio.ensure_future(self._completions.run(job, writer))
        _cancel_on_disconnect(request, work)
        try:
            return await work
        except asyncio.CancelledError:
            self._traffic.metrics.count("callers.gone")
            return b""
        finally:
            _set_idle_limit(request, self._traffic.settings.timing.caller_idle_ms)

    async def _call(self, request: Request, service: str, path: str) -> bytes:
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
                key=request.getHeader("Idempotency-Key"),
            )
            _set_idle_limit(request, None)
            work = asyncio.ensure_future(self._services.run(call))
            self._traffic.keep(work)
            # Klein cancels the handler when the caller leaves; a call that was
            # dispatched must go on, so that its answer is stored for a resend.
            answer = await asyncio.shield(work)
        except RefusedError as error:
            self._traffic.count_refusal(error.refusal)
            return write_refusal(request, error.refusal, error.detail)
        finally:
            _set_idle_limit(request, self._traffic.settings.timing.caller_idle_ms)
        request.setResponseCode(answer.status)
        request.setHeader("Content-Type", answer.content_type)
        if answer.stored:
            request.setHeader("Mustardtrack-Stored", "true")
        return answer.body

    async def _list_models(self, request: Request) -> bytes:
        try:
            self._authenticate(request)
        except RefusedError as error:
            self._traffic.count_refusal(error.refusal)
            return write_refusal(request, error.refusal)
        models = [
            {"id": name, "object": "model", "owned_by": "mustardtrack", "created": 0}
            for name in sorted(self._traffic.copy.objects("model"))
        ]
        return write_json(request, 200, {"object": "list", "data": models})

    async def _discover(self, request: Request) -> bytes:
        zone = request.args.get(b"zone", [b""])[0].decode("latin-1")
        now_ms = self._traffic.clock.now_ms()
        hosts = self._traffic.hosts
        addresses = [
            {"host": one.host, "zone": one.zone, "address": one.address}
            for one in hosts.discover(zone, now_ms)[:MAX_ADDRESSES]
        ]
        return write_json(
            request, 200, {"addresses": addresses, "ttl_ms": hosts.ttl_ms}
        )

    async def _health(self, request: Request) -> bytes:
        ready = self._traffic.copy.revision > 0
        body = {
            "name": self._traffic.settings.name,
            "phase": self._traffic.stop.phase,
            "revision": self._traffic.copy.revision,
        }
        return write_json(request, 200 if ready else 503, body)

    def _authenticate(self, request: Request) -> Account:
        if self._traffic.copy.revision == 0:
            raise RefusedError(refuse("no_configuration", dispatched=False))
        token = bearer_token(request)
        account = self._find_account(token) if token else None
        if account is None:
            raise RefusedError(refuse("unauthenticated", dispatched=False))
        return account

    def _find_account(self, token: str) -> Account | None:
        """Return the account of a key; only hashes of keys are kept and compared."""
        copy = self._traffic.copy
        accounts: Any = copy.objects("account")
        if self._accounts_revision != copy.revision:
            self._accounts_revision = copy.revision
            self._accounts = {
                digest: account.name
                for account in accounts.values()
                for digest in account.key_hashes
            }
        digest = hash_key(token)
        account = accounts.get(self._accounts.get(digest, ""))
        if account is None:
            return None
        known = any(hmac.compare_digest(digest, one) for one in account.key_hashes)
        return account if known else None

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


def _set_idle_limit(request: Request, idle_ms: int | None) -> None:
    """Set the idle limit of the connection, unless the caller has left."""
    if request.channel is not None:
        request.channel.setTimeout(None if idle_ms is None else idle_ms / 1000)


def _read_headers(request: Request) -> dict[str, str]:
    return {
        name.decode("latin-1"): values[0].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }


def _cancel_on_disconnect(request: Request, work: "asyncio.Future[bytes]") -> None:
    """Cancel the work when the caller's connection is lost."""
    finished = request.notifyFinish()
    finished.addCallbacks(lambda _: None, lambda _: work.cancel() and None)
