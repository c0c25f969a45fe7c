"""One attempt to get the response of an endpoint to a request."""

import asyncio
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mustardtrack.adapters.upstream import (
    ConnectError,
    ResponseData,
    ResponseEnd,
    ResponseEvent,
    ResponseHead,
    UpstreamConnection,
)
from mustardtrack.platform.headers import (
    REQUEST_ID,
    EndpointInstructions,
    ResponseMetadata,
    build_resume_headers,
    decode_response_headers,
    encode_instructions,
    filter_request_headers,
    filter_response_headers,
)
from mustardtrack.requests.event_stream import EventStreamSplitter
from mustardtrack.requests.forwarding import AttemptFailure, ForwardedRequest
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.placements import cache_salt, engine_urgency

if TYPE_CHECKING:
    from mustardtrack.process.forwarder import AdmittedRequest, Forwarder

# Allows two round trips between availability zones and one retransmission.
CONNECT_TIMEOUT_MS = 300
# Multiple of the latency objective after which a repeatable call that is not a stream
# is retried elsewhere.
OBJECTIVE_TIMEOUT_FACTOR = 2.5
# Longest gap between events before a stream is resumed at another endpoint.
STREAM_IDLE_TIMEOUT_MS = 1500
# Longest wait for the headers or first event before a stream is retried elsewhere.
FIRST_EVENT_TIMEOUT_MS = 2500
# Interval at which the leader is asked whether a prompt is still queued.
QUEUE_RECHECK_MS = 500
MIN_FAILURE_STATUS = 500


@dataclass
class Outcome:
    """Result of an attempt.

    Attributes:
        end: How the attempt failed, None if the request needs no further attempt.
        status: HTTP status sent to the caller, 0 if none was completed.
        first_ms: Time from arrival of the request to the first byte of the response.
        note: Detail for the log.
    """

    end: AttemptFailure | None = None
    status: int = 0
    first_ms: int | None = None
    note: str = ""

    @property
    def is_final(self) -> bool:
        """Whether the request needs no further attempt."""
        return self.end is None


class Attempt:
    """Sends a request to one endpoint and relays its response."""

    def __init__(
        self,
        forwarder: "Forwarder",
        admitted: "AdmittedRequest",
        endpoint: EndpointState,
        progress: ForwardedRequest,
    ):
        self._forwarder = forwarder
        self._admitted = admitted
        self._endpoint = endpoint
        self._progress = progress
        self._exchange = admitted.exchange
        self._clock = forwarder.clock
        self._prompt_tokens = admitted.prompt.tokens if admitted.prompt else 0
        self._is_first_byte_pending = False

    async def run(self) -> Outcome:
        """Run the attempt and record its result in the endpoint state."""
        endpoint = self._endpoint
        try:
            connection = await self._connect()
        except ConnectError as error:
            endpoint.record_unreachable(self._clock.now_ms())
            return Outcome(AttemptFailure.NOT_SENT, note=str(error))
        if self._exchange.is_disconnected:
            self._forwarder.pool.put(endpoint.id, connection)
            return Outcome(note="caller disconnected before the request was sent")
        self._send(connection)
        self._exchange.on_disconnect = connection.wake
        try:
            return await self._receive(connection)
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            self._exchange.on_disconnect = None
            self._record_first_byte()
            endpoint.record_end()

    async def _connect(self) -> UpstreamConnection:
        pool = self._forwarder.pool
        is_repeatable = self._admitted.route.may_retry
        reuse_limit_s = self._forwarder.reuse_limit.max_idle_s(self._clock.now_ms())
        max_idle_s = math.inf if is_repeatable else reuse_limit_s
        connection = pool.take(self._endpoint.id, max_idle_s)
        if connection is None:
            timeout_ms = min(CONNECT_TIMEOUT_MS, self._time_left_ms())
            address = self._endpoint.listed.address
            limit = self._forwarder.connection_limit(self._admitted.service)
            if pool.open_count(address) >= limit:
                # Any idle connections are too old to be reused for a request that must
                # run at most once; closing one makes room.
                pool.close_longest_idle(self._endpoint.id)
            self._forwarder.metrics.count("upstream.connection")
            connection = await pool.open(address, timeout_ms / 1000)
            connection.is_reusable = True
        return connection

    def _send(self, connection: UpstreamConnection) -> None:
        admitted = self._admitted
        metadata = admitted.metadata
        exchange = self._exchange
        forwards_key = admitted.table.accounts is None
        headers = filter_request_headers(exchange.headers, forwards_key)
        if self._progress.resume_after is not None:
            headers = build_resume_headers(headers, self._progress.resume_after)
        headers += encode_instructions(self._instructions())
        if exchange.body or exchange.header(b"content-length") is not None:
            headers.append((b"content-length", b"%d" % len(exchange.body)))
        elif exchange.header(b"transfer-encoding") is not None:
            headers.append((b"content-length", b"0"))
        self._progress.record_send()
        self._endpoint.record_send(self._prompt_tokens)
        self._is_first_byte_pending = True
        connection.send(
            exchange.method,
            exchange.target,
            headers,
            exchange.body,
            REQUEST_ID,
            metadata.request_id,
        )

    def _instructions(self) -> EndpointInstructions:
        admitted = self._admitted
        account = admitted.account
        version = salt = urgency = fetch_from = save_to = None
        if admitted.prompt is not None:
            model = admitted.prompt.model
            version = self._endpoint.listed.weights.get(model)
            salt = cache_salt(model, version, admitted.isolated_account)
            urgency = engine_urgency(admitted.rank, admitted.route.objective_ms)
            placement = self._progress.placement
            if placement is not None:
                urgency = placement.urgency
                fetch_from = placement.fetch_from or None
                save_to = placement.save_to or None
        return EndpointInstructions(
            instance=self._endpoint.id,
            time_left_ms=max(1, self._time_left_ms()),
            account=account.name if account else None,
            urgency=urgency,
            weights_version=version,
            cache_salt=salt,
            fetch_from=fetch_from,
            save_to=save_to,
        )

    async def _receive(self, connection: UpstreamConnection) -> Outcome:
        event = await self._next_event(connection, self._first_event_timeout_ms())
        if isinstance(event, Outcome):
            return event
        if not isinstance(event, ResponseHead):
            return self._fail_without_head(connection)
        response = decode_response_headers(event.headers)
        self._record_head(connection, event, response)
        if response.did_not_run:
            return await self._finish_not_run(connection, event)
        if response.has_content_encoding or not response.is_signed:
            return self._fail_broken(connection, "response is encoded or unsigned")
        is_failure = event.status >= MIN_FAILURE_STATUS
        self._endpoint.record_response(is_failure)
        if self._admitted.route.is_stream and event.status < 300:
            return await self._relay_stream(connection, event)
        return await self._relay_buffered(connection, event, is_failure)

    def _record_head(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
        response: ResponseMetadata,
    ) -> None:
        if response.keep_alive_s is not None:
            connection.keep_alive_s = response.keep_alive_s
        if response.load is not None:
            load = response.load
            self._endpoint.record_load(load.running, load.waiting, self._clock.now_ms())

    async def _finish_not_run(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> Outcome:
        while True:
            event = await self._next_event(
                connection, CONNECT_TIMEOUT_MS, ends_at_limit=True
            )
            if isinstance(event, ResponseData):
                continue
            if isinstance(event, ResponseEnd):
                self._forwarder.pool.put(self._endpoint.id, connection)
            else:
                connection.abort()
            return Outcome(AttemptFailure.NOT_RUN, note=f"status {head.status}")

    async def _relay_buffered(
        self, connection: UpstreamConnection, head: ResponseHead, is_failure: bool
    ) -> Outcome:
        parts: list[bytes] = []
        while True:
            event = await self._next_event(connection, self._time_left_ms())
            if isinstance(event, ResponseData):
                parts.append(event.data)
                continue
            if isinstance(event, Outcome):
                return event
            if not isinstance(event, ResponseEnd):
                return self._fail_broken(connection, "response body truncated")
            break
        self._forwarder.pool.put(self._endpoint.id, connection)
        if is_failure and self._may_retry_failure():
            return Outcome(AttemptFailure.FAILED, note=f"status {head.status}")
        headers = [
            header
            for header in filter_response_headers(head.headers)
            if header[0] != b"content-length"
        ]
        self._exchange.respond(head.status, headers, b"".join(parts))
        return Outcome(status=head.status, first_ms=self._elapsed_ms())

    def _may_retry_failure(self) -> bool:
        progress = self._progress
        route = self._admitted.route
        return route.may_retry and progress.possible_runs + 1 < route.max_attempts

    async def _relay_stream(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> Outcome:
        progress = self._progress
        splitter = EventStreamSplitter(progress.resume_after)
        first_ms = None
        while True:
            is_first = not self._exchange.is_started
            limit_ms = FIRST_EVENT_TIMEOUT_MS if is_first else STREAM_IDLE_TIMEOUT_MS
            event = await self._next_event(connection, limit_ms)
            if isinstance(event, ResponseData):
                complete_events = splitter.feed(event.data)
                if complete_events:
                    self._record_first_byte()
                    if first_ms is None:
                        first_ms = self._elapsed_ms()
                    self._start_response(head)
                    self._exchange.write(complete_events)
                    progress.resume_after = splitter.last_event_id
                continue
            if isinstance(event, ResponseEnd):
                break
            return self._end_interrupted_stream(connection, event)
        self._start_response(head)
        self._exchange.write(splitter.rest)
        self._exchange.finish()
        self._forwarder.pool.put(self._endpoint.id, connection)
        return Outcome(status=head.status, first_ms=first_ms)

    def _start_response(self, head: ResponseHead) -> None:
        if not self._exchange.is_started:
            self._exchange.start(head.status, filter_response_headers(head.headers))

    def _end_interrupted_stream(
        self, connection: UpstreamConnection, event: "ResponseEvent | Outcome | None"
    ) -> Outcome:
        outcome = event
        if not isinstance(outcome, Outcome):
            outcome = self._fail_broken(connection, "stream truncated")
        if outcome.is_final or not self._exchange.is_started:
            return outcome
        if self._admitted.route.is_resumable and self._time_left_ms() > 0:
            return outcome
        self._exchange.abort()
        return Outcome(status=0, note=f"stream aborted: {outcome.note}")

    async def _next_event(
        self,
        connection: UpstreamConnection,
        limit_ms: float,
        ends_at_limit: bool = False,
    ) -> ResponseEvent | Outcome:
        """Return the next response event, or the outcome if there is none.

        Args:
            connection: Connection of the attempt.
            limit_ms: Time without an event after which the request is retried.
            ends_at_limit: Whether the attempt ends after ``limit_ms`` even if no retry
                is allowed.
        """
        left_ms = min(limit_ms, self._time_left_ms())
        event = await connection.next_event(left_ms / 1000)
        while event is None and not ends_at_limit and self._time_left_ms() > 0:
            if self._exchange.is_disconnected:
                break
            if not self._may_retry_elsewhere():
                event = await connection.next_event(self._time_left_ms() / 1000)
                break
            if not await self._forwarder.is_queued(self._admitted):
                break
            left_ms = min(QUEUE_RECHECK_MS, self._time_left_ms())
            event = await connection.next_event(left_ms / 1000)
        if self._exchange.is_disconnected:
            connection.abort()
            return Outcome(note="caller disconnected")
        if event is None:
            connection.abort()
            if self._time_left_ms() > 0:
                self._endpoint.record_unreachable(self._clock.now_ms())
            return Outcome(AttemptFailure.TIMED_OUT, note="no data before the time-out")
        return event

    def _fail_without_head(self, connection: UpstreamConnection) -> Outcome:
        idle_before_request_s = connection.idle_before_request_s
        if idle_before_request_s > 0:
            self._forwarder.reuse_limit.record_reset(
                idle_before_request_s, self._clock.now_ms()
            )
        return self._fail_broken(
            connection,
            "no response headers; connection was idle for "
            f"{idle_before_request_s:.2f} s",
        )

    def _fail_broken(self, connection: UpstreamConnection, note: str) -> Outcome:
        connection.abort()
        self._endpoint.record_response(is_failure=True)
        return Outcome(AttemptFailure.CONNECTION_LOST, note=note)

    def _may_retry_elsewhere(self) -> bool:
        return self._forwarder.may_retry_elsewhere(self._admitted, self._progress)

    def _first_event_timeout_ms(self) -> float:
        route = self._admitted.route
        if route.is_stream:
            return FIRST_EVENT_TIMEOUT_MS
        return route.objective_ms * OBJECTIVE_TIMEOUT_FACTOR

    def _record_first_byte(self) -> None:
        if self._is_first_byte_pending:
            self._is_first_byte_pending = False
            self._endpoint.record_first_byte(self._prompt_tokens)
            self._forwarder.record_first_token(self._admitted)

    def _time_left_ms(self) -> int:
        return self._admitted.deadline_ms - self._clock.now_ms()

    def _elapsed_ms(self) -> int:
        return self._clock.now_ms() - self._admitted.received_ms
