"""Inputs, settings and outcomes of endpoint selection."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SelectionSettings:
    """Settings of the time-to-first-token estimate.

    Attributes:
        routers: Number of routers that share the endpoints.
        prefill_tokens_per_s: Prefill rate of an engine until it is measured.
        import_tokens_per_s: Rate of KV cache import; 0 disables imports.
        import_fixed_ms: Fixed cost of one import.
        slots: Requests that an engine runs at once.
        zone_ms: One-way delay to another availability zone.
        recompute_weight: Extra cost of each ms of prefill, because it delays
            the later requests of the endpoint and displaces cached blocks.
        home_prior: Probability that the endpoint preferred by rendezvous hashing
            holds a prefix, assumed by a router that has just started.
        prior_half_life_ms: Half-life of that probability after the start.
        prior_floor: Lower bound of that probability, for a router whose cache
            events are late or lost.
        headroom_ms: Prefill queue allowed at an engine for light accounts of the
            most urgent class, for its other accounts, and for other classes.
        slot_parts: Fraction of the slots that each of these kinds may fill.
        home_choices: Endpoints considered from the rendezvous ranking of each prefix.
        random_choices: Other endpoints considered, drawn at random.
        count_peers: Estimate the unreported dispatches of other routers.
        learn_speed: Correct the prefill rate by measured times to first token. Off
            by default, because noise in the measured times lowers the cache hit
            rate on engines of equal speed; intended for engines of unknown speed.
    """

    routers: int = 8
    prefill_tokens_per_s: float = 8000.0
    import_tokens_per_s: float = 0.0
    import_fixed_ms: float = 30.0
    slots: int = 16
    zone_ms: float = 1.5
    recompute_weight: float = 0.5
    home_prior: float = 0.8
    prior_half_life_ms: float = 30_000.0
    prior_floor: float = 0.3
    headroom_ms: tuple[float, ...] = (1000.0, 500.0, 150.0)
    slot_parts: tuple[float, ...] = (1.0, 0.9, 0.45)
    home_choices: int = 2
    random_choices: int = 2
    count_peers: bool = True
    learn_speed: bool = False


@dataclass(frozen=True)
class RouteRequest:
    """Request for which an endpoint is selected.

    Attributes:
        rank: Priority at the engine, 0 most urgent: the ``priority`` of
            ``admission.DequeuedItem``.
        class_name: Name of the work class.
        chain: Digests from :func:`prefix_chain`, empty for plain services.
        level_ends: Cumulative number of pieces at the end of each level of the
            prompt, outermost first, from :func:`level_ends`.
        deadline_ms: Monotonic time by which the first token is needed; 0: none.
        attempt: Number of the attempt, from 1.
        excluded: Endpoints on which this request has already failed.
        suspect: Whether the request must run without other requests beside it.
    """

    request_id: str
    account: str
    class_name: str
    rank: int
    chain: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    deadline_ms: int = 0
    zone: str = ""
    level_ends: tuple[int, ...] = ()
    attempt: int = 1
    excluded: frozenset[str] = frozenset()
    suspect: bool = False


@dataclass(frozen=True)
class Choice:
    """Selected endpoint.

    Attributes:
        attempt: Identifier ``"{request_id}.{n}"`` of the n-th attempt.
        expected_ms: Estimated time to first token.
        cached_tokens: Prompt tokens expected in the KV cache of the endpoint.
        import_from: Endpoint to import the prefix from, or ``""``.
        import_pieces: Leading pieces that the import provides.
    """

    attempt: str
    endpoint: str
    incarnation: str
    request: RouteRequest
    expected_ms: float
    cached_tokens: int
    import_from: str = ""
    import_pieces: int = 0


@dataclass(frozen=True)
class Refusal:
    """No endpoint was selected and nothing was dispatched."""

    reason: str
    retry_after_ms: int
