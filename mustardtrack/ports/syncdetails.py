"""Parts of sync replies that rarely change, sent only when they have changed.

Load pattern: dozens of routers ask each control host two to three times a second, most
of them across availability zones, where bytes are billed. Most of a reply is the same
as in the one before.
"""

import msgspec
from xxhash import xxh3_64_intdigest

from mustardtrack.ports.sync_messages import SyncReply

# Fields of a reply that rarely change, and their value in a reply without them.
_EMPTY = {
    "weights": {},
    "controls": [],
    "leader": "",
    "refused": [],
    "prefill_rates": {},
}
# Digest of a router that knows no details.
UNKNOWN = 0
_DIGEST_MASK = 0xFFFF_FFFF
# Digits of the prefill rates in a reply. Routers plan with rough rates, and each change
# would be sent to all of them.
_RATE_DIGITS = 2


def omit_known(reply: SyncReply, known_digest: int) -> SyncReply:
    """Return a reply without the details that the router has.

    Args:
        reply: Reply with all fields.
        known_digest: Digest of the details that the router got last from this host,
            ``UNKNOWN`` for none.
    """
    rates = {
        service: _round_rate(rate) for service, rate in reply.prefill_rates.items()
    }
    reply = msgspec.structs.replace(reply, prefill_rates=rates)
    details = [getattr(reply, name) for name in _EMPTY]
    digest = xxh3_64_intdigest(msgspec.msgpack.encode(details)) & _DIGEST_MASK
    digest = digest or 1
    if digest == known_digest:
        return msgspec.structs.replace(reply, details_digest=digest, **_EMPTY)
    return msgspec.structs.replace(reply, details_digest=digest, has_details=True)


class KnownDetails:
    """Details that a router got last from each control host."""

    def __init__(self) -> None:
        self._replies: dict[str, SyncReply] = {}

    def digest(self, control: str) -> int:
        """Return the digest to send to a control host."""
        reply = self._replies.get(control)
        return UNKNOWN if reply is None else reply.details_digest

    def restore(self, control: str, reply: SyncReply) -> SyncReply:
        """Return a reply with the details that it omits.

        A host of an earlier release sends no digest and omits nothing.

        Raises:
            ValueError: If the reply omits details that this router does not have.
        """
        if reply.details_digest == UNKNOWN:
            return reply
        if reply.has_details:
            self._replies[control] = reply
            return reply
        known = self._replies.get(control)
        if known is None or known.details_digest != reply.details_digest:
            self._replies.pop(control, None)
            raise ValueError(f"{control} omits details that were not received")
        details = {name: getattr(known, name) for name in _EMPTY}
        return msgspec.structs.replace(reply, **details)


def _round_rate(rate: float) -> float:
    """Return a rate with two significant digits.

    Examples:
        >>> _round_rate(61.237), _round_rate(0.4567)
        (61.0, 0.46)
    """
    return float(f"{rate:.{_RATE_DIGITS}g}")
