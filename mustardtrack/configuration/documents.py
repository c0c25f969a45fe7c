"""Replicated state machine of whole configuration documents.

A document replaces the one before it if its version is higher; any other is
acknowledged and has no effect, so that a resent command is never refused.
"""

from dataclasses import dataclass

import msgspec

from mustardtrack.configuration.statemachine import StateMachine


class PutDocument(msgspec.Struct, frozen=True, tag="put_document"):
    """Replaces the document if ``version`` is higher than the current one.

    ``content`` is opaque to the log; it was validated before it was proposed.
    """

    version: int
    content: bytes


class NameWeights(msgspec.Struct, frozen=True, tag="name_weights"):
    """Names the weights version that a model is to run."""

    model: str
    version: int


class ClaimOrders(msgspec.Struct, frozen=True, tag="claim_orders"):
    """Records the control host that is about to give orders to endpoints.

    Endpoints judge who orders them; a leader that finds another host's claim must
    wait until that host's last order is long enough ago.
    """

    holder: str


class ReleaseOrders(msgspec.Struct, frozen=True, tag="release_orders"):
    """Ends a claim whose last order is long enough ago for any other host."""

    holder: str


DocumentCommand = PutDocument | NameWeights | ClaimOrders | ReleaseOrders


class DocumentKept(msgspec.Struct, frozen=True, tag="document_kept"):
    """Version in force after a command, and whether the command changed it."""

    version: int
    changed: bool


@dataclass(frozen=True)
class Document:
    """One configuration document; version 0 means that there is none."""

    version: int = 0
    content: bytes = b""


class _State(msgspec.Struct, array_like=True):
    revision: int
    version: int
    content: bytes
    weights: dict[str, int]
    order_holder: str = ""


class DocumentStore(StateMachine):
    """Newest document and weights versions.

    Attributes:
        revision: Number of commands that changed what routers need.
        order_holder: Control host that may have given orders lately, else empty.

    Examples:
        >>> store = DocumentStore()
        >>> store.apply(1, PutDocument(7, b"x"), 0)
        DocumentKept(version=7, changed=True)
        >>> store.apply(2, PutDocument(7, b"y"), 0)
        DocumentKept(version=7, changed=False)
        >>> DocumentStore.restore(store.snapshot()).document.content
        b'x'
    """

    def __init__(self) -> None:
        self.revision = 0
        self.document = Document()
        self.weights: dict[str, int] = {}
        self.order_holder = ""

    @classmethod
    def restore(cls, state: bytes) -> "DocumentStore":
        """Return the store of a snapshot."""
        decoded = msgspec.msgpack.decode(state, type=_State)
        store = cls()
        store.revision = decoded.revision
        store.document = Document(decoded.version, decoded.content)
        store.weights = decoded.weights
        store.order_holder = decoded.order_holder
        return store

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        document = self.document
        state = _State(
            self.revision,
            document.version,
            document.content,
            self.weights,
            self.order_holder,
        )
        return msgspec.msgpack.encode(state)

    def apply(self, index: int, command: DocumentCommand, wall_ms: int) -> DocumentKept:
        """Apply one committed command."""
        if isinstance(command, PutDocument):
            return self._put(command)
        if isinstance(command, NameWeights):
            return self._name(command)
        return self._hold(command)

    def _hold(self, command: ClaimOrders | ReleaseOrders) -> DocumentKept:
        before = self.order_holder
        if isinstance(command, ClaimOrders):
            self.order_holder = command.holder
        elif before == command.holder:
            self.order_holder = ""
        return DocumentKept(self.document.version, self.order_holder != before)

    def _put(self, command: PutDocument) -> DocumentKept:
        changed = command.version > self.document.version
        if changed:
            self.document = Document(command.version, command.content)
            self.revision += 1
        return DocumentKept(self.document.version, changed)

    def _name(self, command: NameWeights) -> DocumentKept:
        current = self.weights.get(command.model, 1)
        changed = command.version > current
        if changed:
            # Readers may hold the mapping of an earlier revision.
            self.weights = {**self.weights, command.model: command.version}
            self.revision += 1
        return DocumentKept(self.weights.get(command.model, 1), changed)
