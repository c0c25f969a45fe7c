"""Engines that are preferred for a prompt by rendezvous hashing."""

from xxhash import xxh3_64_intdigest

from mustardtrack.routing.enginestate import EngineState
from mustardtrack.routing.placementmessages import PlacementRequest
from mustardtrack.routing.rendezvous import rank_endpoints

# Engines that a router prefers for prompts without a long shared prefix, so that it can
# reuse connections: it sends a few such prompts per second, and connections stay open
# for seconds when idle.
PREFERRED_ENGINES = 3


def find_affine_engine(request: PlacementRequest, engines: list[EngineState]) -> str:
    """Return the engine that is preferred for the long prefix of a prompt."""
    digest = xxh3_64_intdigest(request.parts[-2][0].encode())
    return rank_endpoints(digest, [engine.listed.id for engine in engines])[0]


def find_preferred(
    request: PlacementRequest, engines: list[EngineState]
) -> frozenset[str]:
    """Return the engines whose connections a router reuses, in its zone if any."""
    names = [
        engine.listed.id for engine in engines if engine.listed.zone == request.zone
    ]
    names = names or [engine.listed.id for engine in engines]
    digest = xxh3_64_intdigest(request.router.encode())
    return frozenset(rank_endpoints(digest, names)[:PREFERRED_ENGINES])
