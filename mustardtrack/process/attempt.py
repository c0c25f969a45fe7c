"""One attempt to have an endpoint answer a request."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mustardtrack.adapters.upstream import (
    AnswerData,
    AnswerEnd,
    AnswerEvent,
    AnswerHead,
    ConnectError,
    UpstreamConnection,
)
from mustardtrack.platform.headers import (
    REQUEST_ID,
    AnswerMetadata,
    Instructions,
    forwarded_headers,
    instruction_headers,
    read_answer,
    resume_headers,
    returned_headers,
)
from mustardtrack.requests.event_stream import EventStreamSplitter
from mustardtrack.requests.forwarding import AttemptFailure, ForwardedRequest
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.placements import cache_salt, rank_urgency

if TYPE_CHECKING:
    from mustardtrack.process.forwarder import Admitted, Forwarder

# Two round trips between zones with room for one lost packet.
CONNECT_TIMEOUT_MS = 300
# Objectives after which a call that may be repeated is tried elsewhere.
REPEAT_AFTER_OBJECTIVES = 2.5
# Time without an event after which a stream that may go on elsewhere is moved.
STREAM_STALL_MS = 1500
# Time without a first event after which such a stream is moved.
FIRST_EVENT_STALL_MS = 2500
# Time after which the leader is asked again whether a prompt still has its turn.
RECHECK_MS = 500
FAILURE_STATUS = 500


@dataclass
class Outcome:
    """How an attempt ended.

    Attributes:
        end: Why there was no answer, None if the request is settled.
        status: Status that the caller received.
        first_ms: Time from the request's arrival to the first byte of the answer.
    """

    end: AttemptFailure | None = None
    status: int = 0
    first_ms: int | None = None
    note: str = ""

    @property
    def is_final(self) -> bool:
        """Whether nothing more is to be done for the request."""
        return self.end is None


class Attempt:
    """Sends a request to one endpoint and relays the answer."""

    def __init__(
        self,
        forwarder: "Forwarder",
        admitted: "Admitted",
        endpoint: EndpointState,
        progress: ForwardedRequest,
    ):
        self._forwarder = forwarder
        self._admitted = admitted
        self._endpoint = endpoint
        self._progress = progress
        self._exchange = admitted.exchange
        self._clock = forwarder.clock
        self._tokens = admitted.prompt.tokens if admitted.prompt else 0
        self._is_unread = False

    async def run(self) -> Outcome:
        """Return the outcome; the endpoint's state is updated."""
        endpoint = self._endpoint
        try:
            connection = await self._connect()
        except ConnectError as error:
            endpoint.record_unreachable(self._clock.now_ms())
            return Outcome(AttemptFailure.NOT_SENT, note=str(error))
        if self._exchange.is_gone:
            self._forwarder.pool.put(endpoint.id, connection)
            return Outcome(note="caller gone before send")
        self._send(connection)
        self._exchange.on_gone = connection.wake
        try:
            return await self._receive(connection)
        finally:
            self._exchange.on_gone = None
            self._mark_read()
            endpoint.record_end()

    async def _connect(self) -> UpstreamConnection:
        pool = self._forwarder.pool
        is_repeatable = self._admitted.route.may_retry
        trusted_s = self._forwarder.idle_trust.max_idle_s(self._clock.now_ms())
        max_idle_s = math.inf if is_repeatable else trusted_s
        connection = pool.take(self._endpoint.id, max_idle_s)
        if connection is None:
            timeout_ms = min(CONNECT_TIMEOUT_MS, self._left_ms())
            address = self._endpoint.listed.address
            limit = self._forwarder.connection_limit(self._admitted.service)
            if pool.open_count(address) >= limit:
                # The idle ones are too old for a request that must not repeat.
                pool.close_oldest(self._endpoint.id)
            self._forwarder.metrics.count("upstream.connection")
            connection = await pool.open(address, timeout_ms / 1000)
            connection.is_reusable = True
        return connection

    def _send(self, connection: UpstreamConnection) -> None:
        admitted = self._admitted
        metadata = admitted.metadata
        exchange = self._exchange
        keeps_key = admitted.table.accounts is None
        headers = forwarded_headers(exchange.headers, keeps_key)
        if self._progress.resume_after is not None:
            headers = resume_headers(headers, self._progress.resume_after)
        headers += instruction_headers(self._instructions())
        if exchange.body or exchange.header(b"content-length") is not None:
            headers.append((b"content-length", b"%d" % len(exchange.body)))
        elif exchange.header(b"transfer-encoding") is not None:
            headers.append((b"content-length", b"0"))
        self._progress.record_send()
        self._endpoint.record_send(self._tokens)
        self._is_unread = True
        connection.send(
            exchange.method,
            exchange.target,
            headers,
            exchange.body,
            REQUEST_ID,
            metadata.request_id,
        )

    def _instructions(self) -> Instructions:
        admitted = self._admitted
        account = admitted.account
        version = salt = urgency = fetch_from = save_to = None
        if admitted.prompt is not None:
            model = admitted.prompt.model
            version = self._endpoint.listed.weights.get(model)
            salt = cache_salt(model, version, admitted.isolated_account)
            urgency = rank_urgency(admitted.rank, admitted.route.objective_ms)
            placement = self._progress.placement
            if placement is not None:
                urgency = placement.urgency
                fetch_from = placement.fetch_from or None
                save_to = placement.save_to or None
        return Instructions(
            instance=self._endpoint.id,
            time_left_ms=max(1, self._left_ms()),
            account=account.name if account else None,
            urgency=urgency,
            weights_version=version,
            cache_salt=salt,
            fetch_from=fetch_from,
            save_to=save_to,
        )

    async def _receive(self, connection: UpstreamConnection) -> Outcome:
        event = await self._next(connection, self._first_limit_ms())
        if isinstance(event, Outcome):
            return event
        if not isinstance(event, AnswerHead):
            return self._broken_unanswered(connection)
        answer = read_answer(event.headers)
        self._record_head(connection, event, answer)
        if answer.did_not_run:
            return await self._finish_unrun(connection, event)
        if answer.is_encoded or not answer.is_signed:
            return self._broken(connection, "answer is not the endpoint's own")
        is_failure = event.status >= FAILURE_STATUS
        self._endpoint.record_response(is_failure)
        if self._admitted.route.is_stream and event.status < 300:
            return await self._relay_stream(connection, event)
        return await self._relay_whole(connection, event, is_failure)

    def _record_head(
        self, connection: UpstreamConnection, head: AnswerHead, answer: AnswerMetadata
    ) -> None:
        if answer.idle_s is not None:
            connection.idle_limit_s = answer.idle_s
        if answer.load is not None:
            load = answer.load
            self._endpoint.record_load(load.running, load.waiting, self._clock.now_ms())

    async def _finish_unrun(
        self, connection: UpstreamConnection, head: AnswerHead
    ) -> Outcome:
        while True:
            event = await self._next(connection, CONNECT_TIMEOUT_MS, is_final=True)
            if isinstance(event, AnswerData):
                continue
            if isinstance(event, AnswerEnd):
                self._forwarder.pool.put(self._endpoint.id, connection)
            else:
                connection.close()
            return Outcome(AttemptFailure.NOT_RUN, note=f"status {head.status}")

    async def _relay_whole(
        self, connection: UpstreamConnection, head: AnswerHead, is_failure: bool
    ) -> Outcome:
        parts: list[bytes] = []
        while True:
            event = await self._next(connection, self._left_ms())
            if isinstance(event, AnswerData):
                parts.append(event.data)
                continue
            if isinstance(event, Outcome):
                return event
            if not isinstance(event, AnswerEnd):
                return self._broken(connection, "answer body is cut")
            break
        self._forwarder.pool.put(self._endpoint.id, connection)
        if is_failure and self._may_repeat_failure():
            return Outcome(AttemptFailure.FAILED, note=f"status {head.status}")
        headers = [
            one for one in returned_headers(head.headers) if one[0] != b"content-length"
        ]
        self._exchange.respond(head.status, headers, b"".join(parts))
        return Outcome(status=head.status, first_ms=self._elapsed_ms())

    def _may_repeat_failure(self) -> bool:
        progress = self._progress
        route = self._admitted.route
        return route.may_retry and progress.possible_runs + 1 < route.max_attempts

    async def _relay_stream(
        self, connection: UpstreamConnection, head: AnswerHead
    ) -> Outcome:
        progress = self._progress
        splitter = EventStreamSplitter(progress.resume_after)
        first_ms = None
        while True:
            is_first = not self._exchange.is_started
            limit_ms = FIRST_EVENT_STALL_MS if is_first else STREAM_STALL_MS
            event = await self._next(connection, limit_ms)
            if isinstance(event, AnswerData):
                whole = splitter.feed(event.data)
                if whole:
                    self._mark_read()
                    if first_ms is None:
                        first_ms = self._elapsed_ms()
                    self._start_answer(head)
                    self._exchange.write(whole)
                    progress.resume_after = splitter.last_event_id
                continue
            if isinstance(event, AnswerEnd):
                break
            return self._end_broken_stream(connection, event)
        self._start_answer(head)
        self._exchange.write(splitter.rest)
        self._exchange.finish()
        self._forwarder.pool.put(self._endpoint.id, connection)
        return Outcome(status=head.status, first_ms=first_ms)

    def _start_answer(self, head: AnswerHead) -> None:
        if not self._exchange.is_started:
            self._exchange.start(head.status, returned_headers(head.headers))

    def _end_broken_stream(
        self, connection: UpstreamConnection, event: "AnswerEvent | Outcome | None"
    ) -> Outcome:
        outcome = event
        if not isinstance(outcome, Outcome):
            outcome = self._broken(connection, "stream is cut")
        if outcome.is_final or not self._exchange.is_started:
            return outcome
        if self._admitted.route.is_resumable and self._left_ms() > 0:
            return outcome
        self._exchange.abort()
        return Outcome(status=0, note=f"aborted: {outcome.note}")

    async def _next(
        self, connection: UpstreamConnection, limit_ms: float, is_final: bool = False
    ) -> AnswerEvent | Outcome:
        """Return the next part of the answer, or how the attempt ended without it.

        Args:
            connection: Connection of the attempt.
            limit_ms: Time after which a silent attempt is given up for another one.
            is_final: Whether it is given up then even if no other may follow.
        """
        left_ms = min(limit_ms, self._left_ms())
        event = await connection.next_event(left_ms / 1000)
        while event is None and not is_final and self._left_ms() > 0:
            if self._exchange.is_gone:
                break
            if not self._may_move():
                event = await connection.next_event(self._left_ms() / 1000)
                break
            if not await self._forwarder.is_queued(self._admitted):
                break
            left_ms = min(RECHECK_MS, self._left_ms())
            event = await connection.next_event(left_ms / 1000)
        if self._exchange.is_gone:
            connection.close()
            return Outcome(note="caller gone")
        if event is None:
            connection.close()
            if self._left_ms() > 0:
                self._endpoint.record_unreachable(self._clock.now_ms())
            return Outcome(AttemptFailure.TIMED_OUT, note="no data in time")
        return event

    def _broken_unanswered(self, connection: UpstreamConnection) -> Outcome:
        rested_s = connection.rested_s
        if rested_s > 0:
            self._forwarder.idle_trust.record_reset(rested_s, self._clock.now_ms())
        return self._broken(connection, f"no answer head, idle for {rested_s:.2f} s")

    def _broken(self, connection: UpstreamConnection, note: str) -> Outcome:
        connection.close()
        self._endpoint.record_response(is_failure=True)
        return Outcome(AttemptFailure.CONNECTION_LOST, note=note)

    def _may_move(self) -> bool:
        return self._forwarder.may_move(self._admitted, self._progress)

    def _first_limit_ms(self) -> float:
        route = self._admitted.route
        if route.is_stream:
            return FIRST_EVENT_STALL_MS
        return route.objective_ms * REPEAT_AFTER_OBJECTIVES

    def _mark_read(self) -> None:
        if self._is_unread:
            self._is_unread = False
            self._endpoint.record_first_byte(self._tokens)
            self._forwarder.record_prefilled(self._admitted)

    def _left_ms(self) -> int:
        return self._admitted.deadline_ms - self._clock.now_ms()

    def _elapsed_ms(self) -> int:
        return self._clock.now_ms() - self._admitted.received_ms
