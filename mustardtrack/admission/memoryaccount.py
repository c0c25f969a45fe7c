"""One account of the memory and the connections that a process holds for its peers.

Load pattern: callers that nobody controls send requests ahead, stop within a request,
or leave answers unread, on few connections or on many. Each of them stays within the
limits of a single request; together they end the process by its memory.

A holder may hold as much as is free. This allowance shrinks as the memory fills, so
that the holders with the most are affected first and ordinary callers last. The steps,
in the order in which they begin, stand in ``Level``.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Iterable
from enum import Enum

# A request head of the largest size and what an answer has in the buffers. No holder is
# affected below it before the limit is reached.
ORDINARY_BYTES = 65_536
# The largest request body and the largest answer at once: less would refuse a single
# ordinary caller.
MIN_LIMIT_BYTES = 2 * 4_194_304
# Fraction of the free memory that the account gives out. Joining the parts of a body or
# an answer copies it once, and the allocator keeps freed parts: 22 MB in the account of
# a router took up to 50 MB.
ACCOUNT_FRACTION = 0.4
# Answers that callers do not read, where the memory of the host is not known.
DEFAULT_UNREAD_BYTES = 25_165_824
# Connection without requests: protocol, transport, parser and timer (10 KB measured).
CONNECTION_BYTES = 12_288
# Parsed header: a pair of byte strings and its place in a list (255 bytes measured).
HEADER_BYTES = 256
# Descriptors of the bus, the log, the data folder and of connections that are closing.
RESERVED_DESCRIPTORS = 16
# Refusal reason of requests for which there is no memory.
MEMORY = "memory"


class Level(Enum):
    """Fraction of the limit from which a step is taken."""

    PAUSE_CALLERS = 0.5
    PAUSE_ENDPOINTS = 0.65
    REFUSE = 0.75
    RESET = 0.9
    # The largest holder of any kind is reset, and all new work is refused.
    FULL = 1.0


class Holder(ABC):
    """Connection on whose behalf the process holds memory and a descriptor."""

    @abstractmethod
    def hold_back(self, is_held_back: bool) -> None:
        """Pause or resume reading."""

    @abstractmethod
    def discard(self) -> None:
        """Reset the connection; it no longer counts."""


class Caller(Holder):
    """Connection of a caller."""

    @abstractmethod
    def refuse_partial(self) -> None:
        """Refuse the request that was received in part; nothing of it was sent on."""

    @abstractmethod
    def close_now(self) -> None:
        """Close the connection and free its descriptor before this returns."""


def header_cost(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the bytes that parsed headers take.

    Examples:
        >>> header_cost([(b"a", b"bc")])
        259
    """
    return sum(HEADER_BYTES + len(name) + len(value) for name, value in headers)


class MemoryAccount:
    """What a process holds for its callers and endpoints.

    Args:
        limit_bytes: Bound on the sum, None if the memory of the host is not known.
        max_callers: Bound on the connections of callers, None for no bound.
        max_endpoints: Bound on the connections to endpoints, None for no bound.

    Attributes:
        total_bytes: Sum over the holders.
        unread_bytes: Part of the sum in answers that callers do not read.

    Examples:
        >>> MemoryAccount(1000).allowance_bytes() == ORDINARY_BYTES
        True
    """

    def __init__(
        self,
        limit_bytes: int | None = None,
        max_callers: int | None = None,
        max_endpoints: int | None = None,
    ):
        self.limit_bytes = limit_bytes
        self.max_callers = max_callers
        self.max_endpoints = max_endpoints
        self.total_bytes = 0
        self.unread_bytes = 0
        self._sizes: dict[Holder, int] = {}
        self._endpoints: dict[Holder, None] = {}
        self._paused: dict[Holder, None] = {}
        # Each in the order in which its callers entered the state.
        self._idle: dict[Caller, None] = {}
        self._partial: dict[Caller, None] = {}
        self._unread: dict[Caller, int] = {}
        self._callers: dict[Caller, None] = {}

    @classmethod
    def of_host(
        cls,
        memory_bytes: int | None,
        descriptors: int | None,
        used_bytes: int,
        used_descriptors: int,
    ) -> "MemoryAccount":
        """Return the account of a process that begins to serve.

        Args:
            memory_bytes: Memory that the process may use, None if not known.
            descriptors: Descriptors that it may open, None if not known.
            used_bytes: Memory in use before the first connection.
            used_descriptors: Descriptors open before the first connection.

        Examples:
            >>> account = MemoryAccount.of_host(160_000_000, 1000, 60_000_000, 20)
            >>> account.limit_bytes, account.max_callers, account.max_endpoints
            (40000000, 482, 482)
        """
        limit = half = None
        if memory_bytes is not None:
            limit = int(ACCOUNT_FRACTION * (memory_bytes - used_bytes))
            limit = max(MIN_LIMIT_BYTES, limit)
        if descriptors is not None:
            # A caller has one request at a time at an endpoint.
            free = descriptors - used_descriptors - RESERVED_DESCRIPTORS
            half = max(1, free // 2)
        return cls(limit, half, half)

    @property
    def max_unread_bytes(self) -> int:
        """Bound on the answers that callers do not read."""
        return DEFAULT_UNREAD_BYTES if self.limit_bytes is None else self.limit_bytes

    def has_reached(self, level: Level) -> bool:
        """Return whether a step is taken now."""
        limit = math.inf if self.limit_bytes is None else self.limit_bytes
        return self.total_bytes >= level.value * limit

    def allowance_bytes(self) -> float:
        """Return what one holder may hold before it is affected."""
        if self.limit_bytes is None:
            return math.inf
        return max(ORDINARY_BYTES, self.limit_bytes - self.total_bytes)

    def held_bytes(self, holder: object) -> int:
        """Return what is held for a holder."""
        return self._sizes.get(holder, 0)  # type: ignore[call-overload]

    def must_refuse(self, holder: object) -> bool:
        """Return whether new work of a holder is refused."""
        is_large = self.held_bytes(holder) > self.allowance_bytes()
        return self.has_reached(Level.FULL) or (
            is_large and self.has_reached(Level.REFUSE)
        )

    def has_room_for_caller(self) -> bool:
        """Return whether another caller may connect, after closing one if needed.

        An idle connection goes first, then one whose caller does not read, then one
        whose request is incomplete; of each, the one that is so for longest.
        """
        if self.max_callers is None or len(self._callers) < self.max_callers:
            return True
        for state in (self._idle, self._unread, self._partial):
            caller = next(iter(state), None)
            if caller is not None:
                self.remove(caller)
                caller.close_now()
                return True
        return False

    def record_caller(
        self,
        caller: Caller,
        size: int,
        unread: int = 0,
        is_partial: bool = False,
        is_idle: bool = False,
    ) -> None:
        """Record what is held for a caller, and act on it.

        Args:
            caller: Connection of the caller.
            size: Bytes that are held, ``unread`` among them.
            unread: Bytes of answers that the caller does not read.
            is_partial: Whether a request was received in part.
            is_idle: Whether nothing was received since the last answer.
        """
        self._callers[caller] = None
        _set_state(self._idle, caller, is_idle)
        _set_state(self._partial, caller, is_partial)
        self.unread_bytes += unread - self._unread.get(caller, 0)
        if unread:
            self._unread[caller] = unread
        else:
            self._unread.pop(caller, None)
        self._set_size(caller, size)
        self._apply(caller, Level.PAUSE_CALLERS)

    def record_endpoint(self, endpoint: Holder, size: int) -> None:
        """Record what is held of an exchange with an endpoint, 0 if there is none."""
        if not size:
            self.remove(endpoint)
            return
        self._endpoints[endpoint] = None
        self._set_size(endpoint, size)
        self._apply(endpoint, Level.PAUSE_ENDPOINTS)

    def remove(self, holder: Holder) -> None:
        """Forget a holder whose connection is closed."""
        self.total_bytes -= self._sizes.pop(holder, 0)
        for state in (self._idle, self._partial, self._callers):
            state.pop(holder, None)  # type: ignore[call-overload]
        self.unread_bytes -= self._unread.pop(holder, 0)  # type: ignore[call-overload]
        self._endpoints.pop(holder, None)
        if holder in self._paused:
            del self._paused[holder]
            holder.hold_back(False)
        self._resume()

    def _set_size(self, holder: Holder, size: int) -> None:
        self.total_bytes += size - self._sizes.get(holder, 0)
        self._sizes[holder] = size

    def _apply(self, holder: Holder, pause_level: Level) -> None:
        """Take the steps that the present sum asks for."""
        is_calm = not self.has_reached(Level.PAUSE_CALLERS) and not self._paused
        if is_calm and self.unread_bytes <= self.max_unread_bytes:
            return
        if self._is_over(holder, pause_level) and holder not in self._paused:
            self._paused[holder] = None
            holder.hold_back(True)
        self._reset_unread()
        while self.has_reached(Level.REFUSE) and self._refuse_largest():
            pass
        while self.has_reached(Level.FULL) and self._discard_largest():
            pass
        self._resume()

    def _is_over(self, holder: Holder, level: Level) -> bool:
        """Return whether reading from a holder pauses.

        The largest answer goes on, so that answers which wait for memory do not wait
        for each other. Its size has a limit of its own.
        """
        if not self.has_reached(level):
            return False
        if self._sizes.get(holder, 0) <= self.allowance_bytes():
            return False
        return holder not in self._endpoints or holder is not self._largest_endpoint()

    def _largest_endpoint(self) -> Holder:
        return max(self._endpoints, key=self._sizes.__getitem__)

    def _reset_unread(self) -> None:
        while self._unread and (
            self.has_reached(Level.RESET) or self.unread_bytes > self.max_unread_bytes
        ):
            callers = list(self._unread)
            # The last one has only begun and had no time to read.
            known = callers[:-1] or callers
            self._discard(max(known, key=self._unread.__getitem__))

    def _discard_largest(self) -> bool:
        if not self._sizes:
            return False
        self._discard(max(self._sizes, key=self._sizes.__getitem__))
        return True

    def _discard(self, largest: Holder) -> None:
        # A holder that is discarded must not act on its removal.
        self._paused.pop(largest, None)
        self.remove(largest)
        largest.discard()

    def _refuse_largest(self) -> bool:
        """Refuse the largest request that was received in part, if it is too large."""
        largest = max(self._partial, key=self.held_bytes, default=None)
        if largest is None:
            return False
        is_small = self.held_bytes(largest) <= self.allowance_bytes()
        if is_small and not self.has_reached(Level.FULL):
            return False
        self._partial.pop(largest)
        self._set_size(largest, CONNECTION_BYTES)
        largest.refuse_partial()
        return True

    def _resume(self) -> None:
        """Resume reading from the holders that are within the allowance again."""
        for holder in list(self._paused):
            is_endpoint = holder in self._endpoints
            level = Level.PAUSE_ENDPOINTS if is_endpoint else Level.PAUSE_CALLERS
            if holder in self._paused and not self._is_over(holder, level):
                del self._paused[holder]
                holder.hold_back(False)


def _set_state(state: dict[Caller, None], caller: Caller, is_in_state: bool) -> None:
    if not is_in_state:
        state.pop(caller, None)
    elif caller not in state:
        state[caller] = None
