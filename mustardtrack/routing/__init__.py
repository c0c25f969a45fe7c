"""Routing: prefix identity, cache index, placement and endpoint selection."""

from mustardtrack.routing.index import CacheIndex, Match
from mustardtrack.routing.prefixes import Salt, level_ends, prefix_chain
from mustardtrack.routing.rendezvous import GroupedRendezvous, rank_endpoints
from mustardtrack.routing.selection import (
    Candidate,
    Choice,
    Refusal,
    RouteRequest,
    SelectionSettings,
    Selector,
)

__all__ = [
    "CacheIndex",
    "Candidate",
    "Choice",
    "Match",
    "GroupedRendezvous",
    "Refusal",
    "RouteRequest",
    "Salt",
    "SelectionSettings",
    "Selector",
    "level_ends",
    "prefix_chain",
    "rank_endpoints",
]
