"""Choice of the endpoint for an attempt of a forwarded request."""

import random
from collections.abc import Collection, Sequence

from mustardtrack.adapters.upstream import ConnectionPool
from mustardtrack.admission.connections import connections_per_router
from mustardtrack.admission.ratelimits import RateLimits
from mustardtrack.admission.retryafter import ENDPOINTS_PAUSED
from mustardtrack.configuration.routes import Service
from mustardtrack.ports import Clock
from mustardtrack.process.attempt_state import AdmittedRequest
from mustardtrack.process.control_sync import ControlSync
from mustardtrack.process.placement_client import PlacementClient
from mustardtrack.routing.balancing import choose_endpoint
from mustardtrack.routing.contention import Contention
from mustardtrack.routing.endpointstate import EndpointState
from mustardtrack.routing.localplacement import choose_engine
from mustardtrack.routing.placementmessages import Placement, PlacementRequest
from mustardtrack.routing.prefillrates import PRIOR_TOKENS_PER_MS
from mustardtrack.routing.queuewait import estimate_waits, is_queue_full
from mustardtrack.settings import SeededSettings

# Placements of one prompt that the leader is asked for before its router decides.
MAX_PLACEMENTS = 2


class EndpointChooser:
    """Chooses endpoints that this router may connect to and send a request."""

    def __init__(
        self,
        settings: SeededSettings,
        control_sync: ControlSync,
        pool: ConnectionPool,
        clock: Clock,
        placements: PlacementClient,
        rng: random.Random,
    ):
        self._settings = settings
        self._control_sync = control_sync
        self._pool = pool
        self._clock = clock
        self._placements = placements
        self._rng = rng
        self._contention = Contention()

    @property
    def _limits(self) -> RateLimits:
        return self._control_sync.view.limits

    def no_send_reason(
        self, admitted: AdmittedRequest, endpoint: EndpointState | None
    ) -> str:
        """Return the refusal reason of a request that is not sent."""
        if endpoint is not None:
            return "retry_budget"
        listed = self.accepting_endpoints(admitted)
        endpoints = self._connectable_endpoints(admitted.service, listed)
        if listed and not endpoints:
            return "connections"
        if not listed and self.pause_ms(admitted) is not None:
            return ENDPOINTS_PAUSED
        is_limited = endpoints and not self._endpoints_with_token(endpoints)
        return "rate_limited" if is_limited else "no_endpoint"

    def pause_ms(self, admitted: AdmittedRequest) -> int | None:
        """Return the time until an endpoint that named a pause can be used again."""
        return self._control_sync.view.endpoints.pause_ms(
            admitted.service.name, self._clock.now_ms()
        )

    def accepting_endpoints(self, admitted: AdmittedRequest) -> list[EndpointState]:
        """Return the endpoints that accept a request now."""
        return self._control_sync.view.endpoints.accepting_endpoints(
            admitted.service.name, self._clock.now_ms()
        )

    def _endpoints_with_token(
        self, endpoints: list[EndpointState]
    ) -> list[EndpointState]:
        """Return the endpoints whose limits leave this router a request."""
        now_ms, count = self._clock.now_ms(), self._control_sync.view.router_count
        return [
            state
            for state in endpoints
            if self._limits.tokens(state.id, count, now_ms) >= 1
        ]

    def _within_weights_limit(
        self, admitted: AdmittedRequest, endpoints: list[EndpointState]
    ) -> list[EndpointState]:
        """Return the engines on whose weights a prompt may still begin.

        An engine whose weights are not listed may have any version.
        """
        limit, now_ms = self._control_sync.view.weights_limit, self._clock.now_ms()
        model = admitted.metadata.model
        return [
            state
            for state in endpoints
            if limit.left_to_send_ms(model, state.listed.weights.get(model, 0), now_ms)
        ]

    def _take_token(self, endpoint: EndpointState | None) -> None:
        """Count a request that this router sends without asking the leader."""
        if endpoint is not None:
            count = self._control_sync.view.router_count
            self._limits.take(endpoint.id, count, self._clock.now_ms())

    async def choose(
        self, admitted: AdmittedRequest, tried: list[str], now_ms: int
    ) -> tuple[EndpointState | None, Placement | None]:
        """Return an endpoint that was not tried, and the leader's placement if any.

        The leader chooses the engine of a prompt if it answers in time.
        """
        endpoints, excluded = self._find_usable(admitted)
        # A retry of a failed probe would use up the retry budget.
        may_probe = admitted.route.may_retry and not tried
        tried = [*tried, *excluded]
        zone = self._settings.zone
        if admitted.prompt is None:
            usable = self._endpoints_with_token(endpoints)
            probe = self._control_sync.view.pace.find_probe(usable, may_probe, now_ms)
            paced = self._within_pace(usable, tried, may_probe, now_ms)
            in_time, refusal = self._find_in_time(admitted, paced, tried)
            if probe is None and refusal is not None:
                return None, refusal
            chosen = probe or choose_endpoint(in_time, tried, zone, now_ms, self._rng)
            self._take_token(chosen)
            return chosen, None
        placed, placement = await self._ask_leader(admitted, tried, may_probe)
        if placement is not None:
            return placed, placement
        endpoints, _ = self._find_usable(admitted)
        usable = self._endpoints_with_token(
            self._within_weights_limit(admitted, endpoints)
        )
        paced = self._within_pace(usable, tried, may_probe, now_ms)
        in_time, refusal = self._find_in_time(admitted, paced, tried)
        if refusal is not None:
            return None, refusal
        chosen = choose_engine(
            in_time,
            admitted.prompt,
            admitted.weights_version,
            tried,
            zone,
            now_ms,
            self._rng,
            self._control_sync.view.prefill_rates.get(
                admitted.service.name, PRIOR_TOKENS_PER_MS
            ),
        )
        self._take_token(chosen)
        return chosen, None

    async def _ask_leader(
        self, admitted: AdmittedRequest, tried: list[str], may_probe: bool
    ) -> tuple[EndpointState | None, Placement | None]:
        """Return the engine of the leader's placement, and the placement.

        The leader is asked again if the queue of its first choice has no place by this
        router's last report.

        Returns:
            No engine and no placement if the router must place the prompt.
        """
        for _ in range(MAX_PLACEMENTS):
            placement = await self._placements.request_placement(
                self._placement_request(admitted, tried, may_probe)
            )
            if placement is None or not placement.endpoint:
                return None, placement
            # Endpoints may have announced that they leave while the leader answered.
            usable, _ = self._find_usable(admitted)
            for state in usable:
                if state.id == placement.endpoint and not (
                    self._uses_queues(admitted, [state])
                    and is_queue_full(state, admitted.rank, self._clock.now_ms())
                ):
                    return state, placement
            if all(state.id != placement.endpoint for state in usable):
                break
            tried = [*tried, placement.endpoint]
        return None, None

    def _find_in_time(
        self,
        admitted: AdmittedRequest,
        endpoints: list[EndpointState],
        tried: Collection[str],
    ) -> tuple[Sequence[EndpointState], Placement | None]:
        """Return the endpoints that begin a request in time, or a refusal."""
        service, now_ms = admitted.service.name, self._clock.now_ms()
        untried = [state for state in endpoints if state.id not in tried]
        if not self._uses_queues(admitted, untried):
            return endpoints, None
        self._contention.enable(self._settings.bounds.fair_admission)
        waits = estimate_waits(
            untried, admitted.rank, admitted.deadline_ms - now_ms, now_ms
        )
        is_idle = waits.in_time is untried
        if not untried or (is_idle and not self._contention.is_contended(service)):
            return waits.in_time, None
        routers = max(1, self._control_sync.view.router_count)
        refusal = self._contention.check(
            self._placement_request(admitted, [], may_probe=False),
            waits.first_begin_ms,
            now_ms,
            longest_ms=waits.first_begin_ms - waits.room_ms,
            interval_ms=waits.place_ms * routers / len(untried),
        )
        return (() if refusal else waits.in_time), refusal

    def _uses_queues(
        self, admitted: AdmittedRequest, endpoints: Sequence[EndpointState]
    ) -> bool:
        """Return whether reported queues decide on the admission of a request.

        They do where accounts share the capacity, or endpoints report how long work
        takes.
        """
        has_speeds = any(state.slowdown is not None for state in endpoints)
        return admitted.table.shares_capacity or has_speeds

    def _within_pace(
        self,
        endpoints: list[EndpointState],
        tried: list[str],
        may_probe: bool,
        now_ms: int,
    ) -> list[EndpointState]:
        """Return the untried endpoints that their pace allows."""
        untried = [state for state in endpoints if state.id not in tried]
        pace = self._control_sync.view.pace
        return pace.open_endpoints(untried, may_probe, now_ms)

    def _find_usable(
        self, admitted: AdmittedRequest
    ) -> tuple[list[EndpointState], list[str]]:
        """Return the usable endpoints and the ids of those that only others may use."""
        accepting = self.accepting_endpoints(admitted)
        usable = self._connectable_endpoints(admitted.service, accepting)
        excluded = {state.id for state in accepting} - {state.id for state in usable}
        excluded |= self._control_sync.view.endpoints.withheld_endpoints(
            admitted.service.name, self._clock.now_ms()
        )
        return usable, sorted(excluded)

    def _connectable_endpoints(
        self, service: Service, endpoints: list[EndpointState]
    ) -> list[EndpointState]:
        """Return the endpoints to which this router may open or reuse a connection."""
        limit = self.connection_limit(service)
        return [
            state
            for state in endpoints
            if self._pool.open_count(state.listed.address) < limit
            or self._pool.has_idle(state.id)
        ]

    def _placement_request(
        self, admitted: AdmittedRequest, tried: list[str], may_probe: bool
    ) -> PlacementRequest:
        metadata = admitted.metadata
        amount = 0 if admitted.is_counted else admitted.allotment_amount
        return PlacementRequest(
            request_id=admitted.request_id,
            service=admitted.service.name,
            model=metadata.model,
            parts=[(part.digest, part.tokens) for part in metadata.parts],
            cache=self._control_sync.view.cache_of(admitted.account),
            tokens=metadata.prompt_tokens,
            output_tokens=metadata.max_output_tokens,
            rank=admitted.rank,
            objective_ms=admitted.route.objective_ms,
            time_left_ms=admitted.deadline_ms - self._clock.now_ms(),
            zone=self._settings.zone,
            tried=tried,
            router=self._settings.name,
            account=admitted.account.name if amount and admitted.account else "",
            amount=amount,
            count_id=admitted.begin_count() if amount else "",
            client=admitted.account.name if admitted.account else "",
            may_probe=may_probe,
            is_retry=admitted.progress.sends > 0,
        )

    def connection_limit(self, service: Service) -> int:
        """Return this router's connection limit for one endpoint."""
        count = self._control_sync.view.router_count
        return connections_per_router(service.max_connections, count)
