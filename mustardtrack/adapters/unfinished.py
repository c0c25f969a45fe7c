"""Bytes of responses that have not ended, over all connections of a client."""

from collections import Counter
from typing import Generic, Protocol, TypeVar

# Bytes that all unfinished responses of one client keep. A router may use 150 MB, of
# which its libraries need 67 MB.
MAX_UNFINISHED_BYTES = 33_554_432


class Receiver(Protocol):
    """Receiver of a response.

    Attributes:
        address: Address of the endpoint that sends it.
    """

    address: str


ReceiverT = TypeVar("ReceiverT", bound=Receiver)


class UnfinishedResponses(Generic[ReceiverT]):
    """Bytes that the unfinished responses of a client keep.

    Args:
        max_bytes: Bound on the sum.

    Attributes:
        total_bytes: Sum over the responses.
    """

    def __init__(self, max_bytes: int = MAX_UNFINISHED_BYTES) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._sizes: dict[ReceiverT, int] = {}

    def record(self, receiver: ReceiverT, size: int) -> None:
        """Record the bytes that a response keeps, 0 for none."""
        self.total_bytes += size - self._sizes.pop(receiver, 0)
        if size:
            self._sizes[receiver] = size

    def find_largest(self) -> ReceiverT:
        """Return the response to abort while there are too many bytes.

        It is the largest of the endpoint that has sent most, so that an endpoint that
        sends without end does not end the responses of others.
        """
        by_address: Counter[str] = Counter()
        for receiver, size in self._sizes.items():
            by_address[receiver.address] += size
        address = max(by_address, key=by_address.__getitem__)
        candidates = [one for one in self._sizes if one.address == address]
        return max(candidates, key=self._sizes.__getitem__)
