"""Transfers of cached prompt parts between engines and from the KV cache store."""

from collections.abc import Sequence
from dataclasses import dataclass

from mustardtrack.routing.enginestate import TransferLink

# Duration of a transfer between availability zones relative to one within a zone.
CROSS_ZONE_TRANSFER_FACTOR = 2
# Longest wait of a fetch for a link; recomputing a prefix takes about as long.
MAX_FETCH_WAIT_MS = 300


@dataclass(frozen=True)
class FetchSource:
    """Source from which an engine can fetch cached parts of a prompt.

    Attributes:
        transfer_ms: Wait for the links and duration of the transfer.
        size_bytes: Size of what is fetched.
        is_same_zone: Whether the source is in the availability zone of the engine.
    """

    address: str = ""
    held_tokens: int = 0
    transfer_ms: float = 0.0
    link: TransferLink | None = None
    size_bytes: int = 0
    is_same_zone: bool = True


NO_FETCH_SOURCE = FetchSource()


def choose_source(sources: Sequence[FetchSource]) -> FetchSource:
    """Return the source that holds most, and of these the one that is read fastest."""
    if not sources:
        return NO_FETCH_SOURCE
    return min(sources, key=lambda source: (-source.held_tokens, source.transfer_ms))


def transfer_ms(size_bytes: int, link_mbps: float, is_same_zone: bool) -> float:
    """Return the duration of a transfer, 0 if the bandwidth is not stated."""
    if link_mbps <= 0:
        return 0.0
    duration_ms = size_bytes * 8 / (link_mbps * 1000)
    return duration_ms if is_same_zone else duration_ms * CROSS_ZONE_TRANSFER_FACTOR


def plan_transfer(
    address: str,
    held_tokens: int,
    size_bytes: int,
    link_mbps: float,
    is_same_zone: bool,
    links: tuple[TransferLink, TransferLink],
    now_ms: int,
) -> FetchSource | None:
    """Return a source with its transfer time, None if a link is busy too long."""
    wait_ms = max(link.wait_ms(now_ms) for link in links)
    if wait_ms > MAX_FETCH_WAIT_MS:
        return None
    duration_ms = wait_ms + transfer_ms(size_bytes, link_mbps, is_same_zone)
    return FetchSource(
        address, held_tokens, duration_ms, links[0], size_bytes, is_same_zone
    )
