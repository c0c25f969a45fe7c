"""Messages with which routers ask the leading control host for placements."""

import msgspec


class PlacementRequest(msgspec.Struct, frozen=True, array_like=True):
    """Prompt to be placed on an engine.

    Attributes:
        parts: Digest and tokens of each part of the prompt, in order; the last
            part is not shared with other requests.
        cache: Name of the cache that the client account uses.
        tokens: Tokens of the whole prompt.
        output_tokens: Maximum number of generated tokens.
        rank: Rank of the work class, 0 most urgent.
        objective_ms: Objective for the time to first token.
        time_left_ms: Time after which the request has ended in any case.
        zone: Availability zone of the router.
        tried: Engines on which the request was already attempted.
        router: Router that sends the request.
        account: Client account with an allotment, empty if there is none.
        amount: What the request counts against it, 0 if it was counted before.
        count_id: Id under which it is counted once, empty if it is not counted.
        client: Client account of the request, empty if the routes have none.
        may_probe: Whether this is a first attempt of a request that may be repeated.
        is_retry: Whether the request was sent to an engine before.
    """

    request_id: str
    service: str
    model: str
    parts: list[tuple[str, int]]
    cache: str
    tokens: int
    output_tokens: int
    rank: int
    objective_ms: int
    time_left_ms: int
    zone: str
    tried: list[str]
    router: str = ""
    account: str = ""
    amount: int = 0
    count_id: str = ""
    client: str = ""
    may_probe: bool = False
    is_retry: bool = False


class AllotmentRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to count a request that is not placed against an allotment."""

    account: str
    amount: int
    count_id: str = ""


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Placement decision for a prompt.

    Attributes:
        endpoint: Engine, empty if there is none to use.
        fetch_from: Address from which the engine can fetch further cached parts.
        save_to: Address of the store to which the engine saves the parts.
        expected_ms: Estimated time to first token.
        prefill_tokens: Tokens that the engine is expected to prefill.
        urgency: Scheduling level at the engine, 0 most urgent.
        exceeds_caller_timeout: Whether no engine can respond in time.
        delay_ms: Time after which the prompt may be sent, so that the engine gets no
            more requests than the limit that it names.
        is_authoritative: Whether the sender leads and knows engines of the service.
        allotment_wait_ms: Time after which the caller may return because its account
            has used its allotment, 0 if it has not.
        lacks_memory: Whether no engine has the memory for the prompt now.
        return_ms: Time after which the caller of a prompt that is refused because no
            engine can respond in time may return, None if it is not known.
        is_paced: Whether the router is to report how the engine answers.
    """

    endpoint: str = ""
    fetch_from: str = ""
    save_to: str = ""
    expected_ms: float = 0.0
    prefill_tokens: int = 0
    urgency: int = 0
    exceeds_caller_timeout: bool = False
    is_authoritative: bool = False
    delay_ms: int = 0
    allotment_wait_ms: int = 0
    lacks_memory: bool = False
    return_ms: int | None = None
    is_paced: bool = False
