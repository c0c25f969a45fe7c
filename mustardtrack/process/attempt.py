"""One attempt to get the response of an endpoint to a request."""

import asyncio
import math
from dataclasses import replace

from mustardtrack.adapters.upstream import (
    ConnectError,
    ResponseData,
    ResponseEnd,
    ResponseEvent,
    ResponseHead,
    ResponseInterrupted,
    UpstreamConnection,
)
from mustardtrack.logs import define_event, log_event
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
from mustardtrack.process.attempt_state import (
    AdmittedRequest,
    AttemptHost,
    LostConnection,
    Outcome,
    PlannedAttempt,
)
from mustardtrack.requests.event_stream import EventStreamSplitter
from mustardtrack.requests.forwarding import (
    AttemptFailure,
    ForwardedRequest,
    RetryObstacle,
    StallRecheck,
)
from mustardtrack.requests.time_limits import TimeLimit
from mustardtrack.routing.cachesalts import cache_salt
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.placements import engine_urgency

STALLED_ATTEMPT_CONTINUED = define_event(
    8953, "INFO", "stalled attempt continues; no other attempt could be prepared"
)

# Allows two round trips between availability zones and one retransmission.
CONNECT_TIMEOUT_MS = 300
# Time beyond its time-out in which a connect must report a result.
CONNECT_MARGIN_S = 0.05
# Multiple of the latency objective after which a repeatable call that is not a stream
# is retried elsewhere.
OBJECTIVE_TIMEOUT_FACTOR = 2.5
# Longest gap between events before a stream is resumed at another endpoint.
STREAM_IDLE_TIMEOUT_MS = 1500
# Longest wait for the headers or first event before a stream is retried elsewhere.
FIRST_EVENT_TIMEOUT_MS = 2500
MIN_FAILURE_STATUS = 500
UNAVAILABLE_STATUS = 503
EVENT_DELIMITER = b"\n\n"


async def open_attempt_connection(
    forwarder: AttemptHost,
    admitted: AdmittedRequest,
    endpoint: EndpointState,
    timeout_ms: int,
) -> UpstreamConnection:
    """Return an idle or new connection to the endpoint of an attempt.

    Raises:
        ConnectError: If a new connection is not open within the timeout.
    """
    pool = forwarder.pool
    is_repeatable = admitted.route.may_retry
    reuse_limit_s = forwarder.reuse_limit.max_idle_s(forwarder.clock.now_ms())
    max_idle_s = math.inf if is_repeatable else reuse_limit_s
    connection = pool.take(endpoint.id, max_idle_s)
    if connection is None:
        address = endpoint.listed.address
        limit = forwarder.connection_limit(admitted.service)
        if pool.open_count(address) >= limit:
            # Any idle connections are too old to be reused for a request that must
            # run at most once; closing one makes room.
            pool.close_longest_idle(endpoint.id)
        forwarder.metrics.count("upstream.connection")
        timeout_s = timeout_ms / 1000
        try:
            # The transport's own time-out comes first; this one ends a connect that
            # never reports a result.
            async with asyncio.timeout(timeout_s + CONNECT_MARGIN_S):
                connection = await pool.open(address, timeout_s)
        except TimeoutError as error:
            raise ConnectError("the connect reported no result") from error
        connection.is_reusable = True
    return connection


class Attempt:
    """Sends a request to one endpoint and relays its response."""

    def __init__(
        self,
        forwarder: AttemptHost,
        admitted: AdmittedRequest,
        planned: PlannedAttempt,
        progress: ForwardedRequest,
    ):
        self._forwarder = forwarder
        self._admitted = admitted
        self._endpoint = planned.endpoint
        self._open_connection = planned.connection
        self._choice_fields = planned.choice_fields
        self._progress = progress
        self._exchange = admitted.exchange
        self._clock = forwarder.clock
        self._prompt_tokens = admitted.prompt.tokens if admitted.prompt else 0
        self._is_first_byte_pending = False
        self._sent_ms = 0
        self._last_byte_ms = 0
        self._obstacle: RetryObstacle | None = None
        self._weights_version: int | None = None
        self._is_withdrawn = False
        self._withdrawal: asyncio.TimerHandle | None = None

    async def run(self) -> Outcome:
        """Run the attempt and record its result in the endpoint state."""
        endpoint = self._endpoint
        started_ms = self._clock.now_ms()
        connect_limit, connect_limit_ms = self._connect_limit()
        try:
            connection = self._open_connection or await open_attempt_connection(
                self._forwarder, self._admitted, endpoint, connect_limit_ms
            )
        except ConnectError as error:
            now_ms = self._clock.now_ms()
            endpoint.record_unreachable(now_ms)
            outcome = Outcome(AttemptFailure.NOT_SENT, note=str(error))
            if now_ms - started_ms >= connect_limit_ms:
                outcome.limit, outcome.limit_ms = connect_limit, connect_limit_ms
            return outcome
        if self._exchange.is_disconnected:
            self._forwarder.pool.put(endpoint.id, connection)
            return Outcome(note="caller disconnected before the request was sent")
        if self._is_past_weights_limit():
            self._forwarder.pool.put(endpoint.id, connection)
            note = "not sent: the time limit of the engine's weights is reached"
            return Outcome(AttemptFailure.NOT_RUN, note=note, limit=TimeLimit.WEIGHTS)
        self._send(connection)
        self._admitted.connection = connection
        self._exchange.on_disconnect = connection.wake
        self._schedule_withdrawal(connection)
        try:
            outcome = self._explain(await self._receive(connection))
            # The leader already knows of the placement that replaces this one.
            if outcome.replacement is None:
                self._record_first_byte()
            if outcome.is_final and 200 <= outcome.status < 300 and not outcome.is_cut:
                elapsed_ms = self._clock.now_ms() - self._sent_ms
                endpoint.record_answer(self._admitted.rank, elapsed_ms)
        except BaseException:
            connection.abort()
            raise
        finally:
            if self._withdrawal is not None:
                self._withdrawal.cancel()
            self._exchange.on_disconnect = None
            self._admitted.connection = None
            self._record_prefill_end()
            endpoint.record_end()
        now_ms = self._clock.now_ms()
        outcome.silent_ms = now_ms - self._last_byte_ms
        is_silent = outcome.end is AttemptFailure.TIMED_OUT and not self._is_withdrawn
        if is_silent and outcome.replacement is None:
            self._forwarder.pace.record_unserved(endpoint.listed, now_ms)
        return outcome

    def _is_past_weights_limit(self) -> bool:
        """Return whether the prompt may no longer begin on the engine's weights.

        The time or the list may have changed since the leader placed it, while the
        connection was opened or the prompt was held back. An engine whose weights are
        not listed may have any version.
        """
        prompt = self._admitted.prompt
        if prompt is None:
            return False
        version = self._endpoint.listed.weights.get(prompt.model, 0)
        limit, now_ms = self._forwarder.weights_limit, self._clock.now_ms()
        left_ms = limit.left_to_wait_ms(prompt.model, version, now_ms)
        return left_ms <= self._forwarder.lag.value_ms(now_ms)

    def _schedule_withdrawal(self, connection: UpstreamConnection) -> None:
        """Schedule the end of the attempt at the time limit of its weights.

        An engine drops a waiting prompt when its connection closes. If newer weights
        are named later, the prompt has at least the whole limit from now, so the time
        is read again then.
        """
        version = self._weights_version
        if version is None:
            return
        limit, now_ms = self._forwarder.weights_limit, self._clock.now_ms()
        model = self._admitted.metadata.model
        left_ms = limit.left_to_wait_ms(model, version, now_ms)
        is_limited = not math.isinf(left_ms)
        # The timer fires as late as this process gets the processor.
        left_ms = max(0.0, left_ms - self._forwarder.lag.value_ms(now_ms))
        self._withdrawal = asyncio.get_running_loop().call_later(
            (left_ms if is_limited else limit.longest_wait_ms) / 1000,
            self._withdraw if is_limited else self._schedule_withdrawal,
            connection,
        )

    def _withdraw(self, connection: UpstreamConnection) -> None:
        if self._is_first_byte_pending:
            self._is_withdrawn = True
            connection.abort()

    def _explain(self, outcome: Outcome) -> Outcome:
        """Return the outcome; that of a withdrawn attempt is no lost connection."""
        if not self._is_withdrawn or outcome.end is not AttemptFailure.CONNECTION_LOST:
            return outcome
        note = "withdrawn: the time limit of the engine's weights is reached"
        return replace(
            outcome,
            end=AttemptFailure.TIMED_OUT,
            note=note,
            limit=TimeLimit.WEIGHTS,
            is_broken_off=False,
        )

    def _connect_limit(self) -> tuple[TimeLimit, int]:
        left_ms = self._time_left_ms()
        if left_ms < CONNECT_TIMEOUT_MS:
            return self._admitted.time_limit.kind, max(0, left_ms)
        return TimeLimit.CONNECT, CONNECT_TIMEOUT_MS

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
        self._sent_ms = self._last_byte_ms = self._clock.now_ms()
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
            self._weights_version = version
            # Isolation may have changed since the request was admitted or placed.
            cache = self._forwarder.cache_of(account)
            salt = cache_salt(model, version, cache)
            self._choice_fields["cache_salt"] = salt
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
        event = await self._next_event(
            connection, self._first_event_timeout_ms(), TimeLimit.FIRST_EVENT
        )
        if isinstance(event, Outcome):
            return event
        if not isinstance(event, ResponseHead):
            return self._fail_without_head(connection)
        is_reused = connection.requests_sent > 1
        if is_reused and event.header(REQUEST_ID) is None:
            # It may be the answer to an earlier request, sent once more.
            note = "response without a request id on a reused connection"
            return self._fail_broken(connection, note)
        response = decode_response_headers(event.headers)
        self._record_head(connection, event, response)
        if response.did_not_run:
            self._forwarder.pace.record_unserved(
                self._endpoint.listed, self._clock.now_ms()
            )
            return await self._finish_not_run(connection, event)
        if response.has_content_encoding or not response.is_signed:
            return self._fail_broken(connection, "response is encoded or unsigned")
        is_failure = event.status >= MIN_FAILURE_STATUS
        self._endpoint.record_response(is_failure)
        self._record_pace(is_failure)
        if self._admitted.route.is_stream and event.status < 300:
            return await self._relay_stream(connection, event)
        return await self._relay_buffered(connection, event, is_failure)

    def _record_pace(self, is_failure: bool) -> None:
        """Record how the endpoint answered, for the work that it gets next."""
        pace, listed = self._forwarder.pace, self._endpoint.listed
        now_ms = self._clock.now_ms()
        if is_failure:
            pace.record_failed(listed, now_ms)
            return
        placement = self._progress.placement
        pace.record_answer(
            listed,
            now_ms - self._sent_ms,
            placement.expected_ms if placement is not None else None,
            self._admitted.route.objective_ms,
            now_ms,
            is_paced=placement is not None and placement.is_paced,
        )

    def _record_head(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
        response: ResponseMetadata,
    ) -> None:
        if response.keep_alive_s is not None:
            connection.keep_alive_s = response.keep_alive_s
        if response.is_signed or response.max_requests_per_s is not None:
            limit = response.max_requests_per_s
            self._forwarder.limits.observe(
                self._endpoint.id, limit, self._clock.now_ms()
            )
        self._record_notices(head, response)
        if response.load is not None:
            load, now_ms = response.load, self._clock.now_ms()
            history = self._endpoint.queue_history
            if response.did_not_run:
                history.record_refusal(load.waiting)
            else:
                history.record_accepted(load.waiting)
            running, waiting, slowdown = load.running, load.waiting, load.slowdown
            self._endpoint.record_load(running, waiting, now_ms, slowdown)
            if self._admitted.prompt is not None:
                name, loads = self._endpoint.id, self._forwarder.notices.loads
                loads.record(name, running, waiting, slowdown, now_ms)

    def _record_notices(self, head: ResponseHead, response: ResponseMetadata) -> None:
        notices, listed = self._forwarder.notices, self._endpoint.listed
        now_ms, pause_s = self._clock.now_ms(), response.retry_after_s
        if response.is_leaving:
            notices.record_leaving(listed, now_ms)
        if head.status == UNAVAILABLE_STATUS and pause_s is not None:
            notices.record_pause(listed, pause_s, now_ms)

    async def _finish_not_run(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> Outcome:
        ends_ms = self._clock.now_ms() + CONNECT_TIMEOUT_MS
        while True:
            event = await self._next_event(
                connection,
                max(0, ends_ms - self._clock.now_ms()),
                TimeLimit.EVENT_GAP,
                ends_at_limit=True,
            )
            if isinstance(event, ResponseData) and self._clock.now_ms() < ends_ms:
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
            event = await self._next_event(
                connection, self._time_left_ms(), TimeLimit.EVENT_GAP
            )
            if isinstance(event, ResponseData):
                parts.append(event.data)
                continue
            if isinstance(event, Outcome):
                return event
            if not isinstance(event, ResponseEnd):
                return self._fail_broken(connection, "response body truncated")
            break
        self._forwarder.pool.put(self._endpoint.id, connection)
        # A resumed stream has a response already, so a failure only ends the attempt.
        if self._exchange.is_started or (is_failure and self._may_retry_failure()):
            return Outcome(AttemptFailure.FAILED, note=f"status {head.status}")
        headers = [
            header
            for header in filter_response_headers(head.headers)
            if header[0] != b"content-length"
        ]
        body = b"".join(parts)
        # The parts would be kept beside the body while it is sent.
        parts.clear()
        self._exchange.respond(head.status, headers, body)
        self._progress.record_relayed(head.status, self._elapsed_ms())
        return Outcome(status=head.status)

    def _may_retry_failure(self) -> bool:
        progress = self._progress
        route = self._admitted.route
        return route.may_retry and progress.possible_runs + 1 < route.max_attempts

    async def _relay_stream(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> Outcome:
        progress = self._progress
        connection.is_relayed = True
        splitter = EventStreamSplitter(progress.resume_after)
        waits_since_ms = self._clock.now_ms()
        while True:
            if self._exchange.is_started:
                limit, limit_ms = TimeLimit.EVENT_GAP, STREAM_IDLE_TIMEOUT_MS
            else:
                limit, limit_ms = TimeLimit.FIRST_EVENT, FIRST_EVENT_TIMEOUT_MS
            # Bytes without an event do not prove that the stream goes on.
            waited_ms = self._clock.now_ms() - waits_since_ms
            event = await self._next_event(
                connection, limit_ms, limit, waited_ms=waited_ms
            )
            if self._clock.now_ms() - waits_since_ms >= limit_ms:
                # Another attempt is prepared again only after another limit.
                waits_since_ms = self._clock.now_ms()
            if isinstance(event, ResponseData):
                complete_events = splitter.feed(event.data)
                if complete_events:
                    waits_since_ms = self._clock.now_ms()
                    self._record_first_byte()
                    self._start_response(head)
                    self._exchange.write(complete_events)
                    progress.record_relayed(
                        head.status,
                        self._elapsed_ms(),
                        complete_events.count(EVENT_DELIMITER),
                    )
                    progress.resume_after = splitter.last_event_id
                    await self._exchange.wait_writable(self._time_left_ms() / 1000)
                continue
            if isinstance(event, ResponseEnd) and self._is_whole(event, splitter):
                break
            return self._end_interrupted_stream(connection, event)
        self._start_response(head)
        self._exchange.write(splitter.rest)
        self._exchange.finish()
        self._forwarder.pool.put(self._endpoint.id, connection)
        return Outcome(status=head.status)

    def _is_whole(self, end: ResponseEnd, splitter: EventStreamSplitter) -> bool:
        """Return whether a stream that ended in proper form has all its events.

        Engines that break off may close the connection in order.
        """
        has_events = self._exchange.is_started
        return not splitter.rest.strip() and (has_events or not end.is_close)

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
        if self._admitted.route.may_resume and self._time_left_ms() > 0:
            return outcome
        self._exchange.abort()
        return replace(
            outcome,
            end=None,
            status=self._progress.status,
            note=f"stream aborted: {outcome.note}",
            is_cut=True,
            # This router may have aborted it, for example for lack of memory.
            is_broken_off=outcome.lost is not None,
        )

    async def _next_event(
        self,
        connection: UpstreamConnection,
        limit_ms: float,
        limit: TimeLimit,
        ends_at_limit: bool = False,
        waited_ms: int = 0,
    ) -> ResponseEvent | Outcome:
        """Return the next response event, or the outcome if there is none.

        Args:
            connection: Connection of the attempt.
            limit_ms: Time without an event after which the request is retried if
                another attempt can begin at once.
            limit: Kind of this limit.
            ends_at_limit: Whether the attempt ends after ``limit_ms`` in any case.
            waited_ms: Part of ``limit_ms`` that has passed already.
        """
        left_ms = min(max(0, limit_ms - waited_ms), self._time_left_ms())
        event = await connection.next_event(left_ms / 1000)
        replacement = None
        if event is None and not ends_at_limit:
            event, replacement = await self._outlast_stall(connection)
        if self._exchange.is_disconnected:
            outcome = Outcome(note="caller disconnected")
            if isinstance(event, ResponseInterrupted):
                outcome.lost = self._find_lost(connection)
                outcome.is_broken_off = outcome.lost is not None
            connection.abort()
            return outcome
        if event is not None and not self._is_too_late(event):
            if isinstance(event, ResponseHead | ResponseData):
                self._last_byte_ms = self._clock.now_ms()
            return event
        connection.abort()
        if replacement is not None:
            self._endpoint.record_unreachable(self._clock.now_ms())
        elif not ends_at_limit or self._time_left_ms() <= 0:
            limit = self._admitted.time_limit.kind
            limit_ms = self._admitted.time_limit.limit_ms
        silent = "no data before the time-out"
        return Outcome(
            AttemptFailure.TIMED_OUT,
            note=silent if event is None else "data still arriving at the time limit",
            limit=limit,
            limit_ms=round(limit_ms),
            replacement=replacement,
        )

    def _is_too_late(self, event: ResponseEvent) -> bool:
        """Whether an event is not relayed; an answer may end as complete."""
        is_data = isinstance(event, ResponseHead | ResponseData)
        return is_data and self._time_left_ms() <= 0

    async def _outlast_stall(
        self, connection: UpstreamConnection
    ) -> tuple[ResponseEvent | None, PlannedAttempt | None]:
        """Wait for the next event, the deadline or an attempt that can replace this.

        Returns:
            The event if there is one, and the attempt that replaces this one.
        """
        recheck = StallRecheck()
        while self._is_awaited():
            if not self._progress.may_abandon_attempt():
                left_s = self._time_left_ms() / 1000
                return await connection.next_event(left_s), None
            event, replacement = None, None
            if self._forwarder.must_continue(self._admitted, self._endpoint):
                self._log_obstacle(RetryObstacle.STREAM_STARTED)
            else:
                event, replacement = await self._prepare_replacement(connection)
            if event is None and replacement is None and self._is_awaited():
                recheck_ms = recheck.next_ms(self._obstacle)
                left_ms = min(recheck_ms, self._time_left_ms())
                event = await connection.next_event(left_ms / 1000)
            if event is not None or replacement is not None:
                return event, replacement
        return None, None

    def _is_awaited(self) -> bool:
        return self._time_left_ms() > 0 and not self._exchange.is_disconnected

    async def _prepare_replacement(
        self, connection: UpstreamConnection
    ) -> tuple[ResponseEvent | None, PlannedAttempt | None]:
        """Prepare another attempt while the stalled one goes on.

        Returns:
            The next event of the stalled attempt if one arrived meanwhile, and the
            other attempt if the stalled one is to be abandoned for it.
        """
        preparation = asyncio.ensure_future(
            self._forwarder.prepare_retry(self._admitted, self._progress)
        )

        is_waiting = True

        def wake(_: object) -> None:
            if is_waiting:
                connection.wake()

        preparation.add_done_callback(wake)
        try:
            event = await connection.next_event(self._time_left_ms() / 1000)
        except asyncio.CancelledError:
            self._forwarder.discard_preparation(self._admitted, preparation)
            raise
        finally:
            is_waiting = False
        if event is not None or not preparation.done() or not self._is_awaited():
            self._forwarder.discard_preparation(self._admitted, preparation)
            return event, None
        prepared = preparation.result()
        if isinstance(prepared, PlannedAttempt):
            if self._forwarder.take_retry(self._admitted, prepared):
                return None, prepared
            prepared = RetryObstacle.RETRY_BUDGET
        self._log_obstacle(prepared)
        return None, None

    def _log_obstacle(self, obstacle: RetryObstacle) -> None:
        if obstacle is self._obstacle:
            return
        self._obstacle = obstacle
        log_event(
            STALLED_ATTEMPT_CONTINUED,
            request=self._admitted.request_id,
            endpoint=self._endpoint.id,
            obstacle=obstacle.value,
            elapsed_ms=self._elapsed_ms(),
            left_ms=self._time_left_ms(),
        )

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
        lost = self._find_lost(connection)
        connection.abort()
        self._endpoint.record_response(is_failure=True)
        self._record_pace(is_failure=True)
        return Outcome(
            AttemptFailure.CONNECTION_LOST, note=note, lost=lost, is_broken_off=True
        )

    def _find_lost(self, connection: UpstreamConnection) -> LostConnection | None:
        """Return the connection if the endpoint, and not this router, ended it."""
        if not connection.is_lost or connection.is_aborted:
            return None
        return LostConnection(self._sent_ms, not self._is_first_byte_pending)

    def _first_event_timeout_ms(self) -> float:
        route = self._admitted.route
        if route.is_stream:
            return FIRST_EVENT_TIMEOUT_MS
        return route.objective_ms * OBJECTIVE_TIMEOUT_FACTOR

    def _record_first_byte(self) -> None:
        if self._is_first_byte_pending:
            self._record_prefill_end()
            self._forwarder.record_first_token(self._admitted)

    def _record_prefill_end(self) -> None:
        if self._is_first_byte_pending:
            self._is_first_byte_pending = False
            self._endpoint.record_first_byte(self._prompt_tokens)

    def _time_left_ms(self) -> int:
        return self._admitted.deadline_ms - self._clock.now_ms()

    def _elapsed_ms(self) -> int:
        return self._clock.now_ms() - self._admitted.received_ms
