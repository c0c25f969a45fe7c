"""Estimated contents of the KV cache stores of a deployment, and their use.

Load pattern: long prompts whose shared prefixes are requested in several availability
zones, more prefixes than the engines hold, and one store in each zone. A transfer
between zones takes twice as long and is billed. An engine therefore uses the store of
its own zone, and a prefix that another store holds is copied to it when the zone
requests it again.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence

from mustardtrack.configuration.routes import Service
from mustardtrack.routing.enginestate import (
    PartKey,
    PartSizes,
    TransferLink,
    sum_leading_parts,
)
from mustardtrack.routing.transfers import (
    FetchSource,
    plan_transfer,
    transfer_ms,
)

# Shared prefix tokens below which a store is not used, because its link is shared by
# all engines.
MIN_STORE_TOKENS = 1024
# Longest wait of a save for the store's link. Saves may wait longer than fetches, since
# a fetch delays a first token.
MAX_SAVE_WAIT_MS = 600
# Requests of a zone for a prefix that another store holds, from which a copy in the
# zone avoids more transfers between zones than it costs.
COPY_REQUESTS = 2
# Prefixes of which requests are counted.
MAX_COUNTED_PREFIXES = 20_000


class _StoreContent:
    """Estimated content of one store and the schedule of its link.

    Attributes:
        parts: Stored parts with their tokens, least recently used first.
        pending: Parts that an engine is about to save.
    """

    def __init__(self) -> None:
        self.parts: OrderedDict[PartKey, int] = OrderedDict()
        self.pending: set[PartKey] = set()
        self.tokens = 0
        self.link = TransferLink()

    def prefix(self, shared: PartSizes) -> int:
        """Return the tokens of the leading parts that the store can provide."""
        return sum_leading_parts(shared, self.parts, self.pending)

    def holds(self, shared: PartSizes) -> bool:
        """Return whether all parts are stored or about to be."""
        return all(key in self.parts for key, _ in shared)

    def apply(self, changes: Iterable[tuple[str, str, int]]) -> None:
        for salt, digest, tokens in changes:
            key = (salt, digest)
            self.tokens += tokens - self.parts.pop(key, 0)
            self.pending.discard(key)
            if tokens > 0:
                self.parts[key] = tokens

    def clear(self) -> None:
        self.parts.clear()
        self.pending.clear()
        self.tokens = 0

    def touch(self, shared: PartSizes) -> None:
        for key, _ in shared:
            self.parts.move_to_end(key)

    def add_pending(self, shared: PartSizes, capacity_tokens: int) -> None:
        """Record a save, and evict what no longer fits."""
        for key, size in shared:
            if key not in self.parts:
                self.pending.add(key)
                self.parts[key] = size
                self.tokens += size
        while self.tokens > capacity_tokens and self.parts:
            key, size = self.parts.popitem(last=False)
            self.pending.discard(key)
            self.tokens -= size


class KvStores:
    """Stores of a deployment as the process that places prompts knows them.

    Times are monotonic milliseconds of that process.

    Attributes:
        avoided_bytes: Bytes that were fetched within a zone although another zone
            holds them too.
        crossed_bytes: Bytes that were fetched from another zone.
    """

    def __init__(self) -> None:
        self.avoided_bytes = 0
        self.crossed_bytes = 0
        self._contents: dict[str, _StoreContent] = {}
        self._requests: OrderedDict[tuple[str, PartKey], int] = OrderedDict()

    def contents(self, address: str) -> dict[PartKey, int]:
        """Return the parts of a store with their tokens."""
        return dict(self._content(address).parts)

    def replace(self, address: str, held: Iterable[tuple[str, str, int]]) -> None:
        """Replace the estimated content of a store by the content that it lists."""
        self.clear(address)
        self.apply_events(address, held)

    def apply_events(
        self, address: str, changes: Iterable[tuple[str, str, int]]
    ) -> None:
        """Apply cache events of a store to its estimated content."""
        self._content(address).apply(changes)

    def clear(self, address: str) -> None:
        """Clear the estimated content of a store that has restarted empty."""
        self._content(address).clear()

    def end_saves(self, keys: Collection[PartKey]) -> None:
        """Record that the engine of a prompt has prefilled and saved its parts."""
        for content in self._contents.values():
            content.pending.difference_update(keys)

    def find_sources(
        self,
        stores: Sequence[Service],
        shared: PartSizes,
        cached: int,
        kv_bytes_per_token: int,
        zone: str,
        engine_link: TransferLink,
        now_ms: int,
    ) -> list[FetchSource]:
        """Return the stores from which an engine can fetch more than it holds.

        Args:
            stores: Stores that can be reached.
            shared: Shared parts of the prompt.
            cached: Leading tokens that the engine holds.
            kv_bytes_per_token: Size of the KV cache of one token.
            zone: Availability zone of the engine.
            engine_link: Link of the engine.
            now_ms: Monotonic time.
        """
        found = []
        for store in stores:
            content = self._content(store.kv_store_address or "")
            held = content.prefix(shared)
            if held < cached + MIN_STORE_TOKENS:
                continue
            source = plan_transfer(
                store.kv_store_address or "",
                held,
                (held - cached) * kv_bytes_per_token,
                store.kv_store_link_mbps,
                store.kv_store_zone == zone,
                (content.link, engine_link),
                now_ms,
            )
            if source is not None:
                found.append(source)
        return found

    def find_backup(
        self, stores: Sequence[Service], shared: PartSizes, zone: str
    ) -> str:
        """Return the address of a store that holds a long prefix, empty if none does.

        Engines evict by rules of their own, so that parts that should be cached may
        be lost, and a source costs nothing while the engine still holds them.
        """
        holders = [
            store
            for store in _order_by_zone(stores, zone)
            if self._content(store.kv_store_address or "").prefix(shared)
            >= MIN_STORE_TOKENS
        ]
        return (holders[0].kv_store_address or "") if holders else ""

    def plan_save(
        self,
        stores: Sequence[Service],
        parts: PartSizes,
        kv_bytes_per_token: int,
        zone: str,
        now_ms: int,
    ) -> str:
        """Return the store to which an engine saves a prompt, empty if to none.

        Args:
            stores: Stores that can be reached.
            parts: Parts of the prompt; the last one is not shared.
            kv_bytes_per_token: Size of the KV cache of one token.
            zone: Availability zone of the engine.
            now_ms: Monotonic time.
        """
        shared = parts[:-1]
        if not stores:
            return ""
        store = _order_by_zone(stores, zone)[0]
        content = self._content(store.kv_store_address or "")
        if content.holds(shared):
            content.touch(shared)
            return ""
        others = [one for one in stores if one is not store]
        if self._is_held_elsewhere(others, shared):
            if self._count_request(zone, shared) < COPY_REQUESTS:
                return ""
        if content.link.wait_ms(now_ms) > MAX_SAVE_WAIT_MS:
            return ""
        size_bytes = sum(size for _, size in parts) * kv_bytes_per_token
        is_same_zone = store.kv_store_zone == zone
        content.link.add(
            transfer_ms(size_bytes, store.kv_store_link_mbps, is_same_zone), now_ms
        )
        content.add_pending(shared, store.kv_store_tokens)
        return store.kv_store_address or ""

    def record_fetch(self, source: FetchSource, has_other_zone: bool) -> None:
        """Count the bytes of a transfer that was planned.

        Args:
            source: Source of the transfer.
            has_other_zone: Whether a source in another zone was possible.
        """
        if not source.is_same_zone:
            self.crossed_bytes += source.size_bytes
        elif has_other_zone:
            self.avoided_bytes += source.size_bytes

    def _content(self, address: str) -> _StoreContent:
        return self._contents.setdefault(address, _StoreContent())

    def _is_held_elsewhere(self, others: Sequence[Service], shared: PartSizes) -> bool:
        return any(
            self._content(store.kv_store_address or "").holds(shared)
            for store in others
        )

    def _count_request(self, zone: str, shared: PartSizes) -> int:
        """Count a request of a zone for a prefix and return the number."""
        key = (zone, shared[-1][0])
        self._requests[key] = count = self._requests.pop(key, 0) + 1
        if len(self._requests) > MAX_COUNTED_PREFIXES:
            self._requests.popitem(last=False)
        return count


def _order_by_zone(stores: Sequence[Service], zone: str) -> list[Service]:
    """Return the stores, those of a zone first."""
    return sorted(stores, key=lambda store: store.kv_store_zone != zone)
