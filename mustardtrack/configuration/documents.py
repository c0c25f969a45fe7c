"""Replicated state machine of a configuration that is replaced as one document.

A document replaces the current one if its version is higher. Otherwise it is
acknowledged without effect, so that a resent command is never refused.
"""

from dataclasses import dataclass

import msgspec

from mustardtrack.admission.crashcounts import (
    CrashCounter,
    CrashState,
    LostRequest,
)
from mustardtrack.configuration.cachesharing import ANONYMOUS, CacheSharing
from mustardtrack.configuration.statemachine import StateMachine


class PutDocument(msgspec.Struct, frozen=True, tag="put_document"):
    """Replaces the document if ``version`` is higher than the current one.

    ``content`` is opaque here; it was validated before the command was proposed.
    ``isolated_accounts`` and ``sharing_accounts`` are the client accounts in it that
    share no cached prefixes and that share them with each other.
    """

    version: int
    content: bytes
    isolated_accounts: list[str] = []
    sharing_accounts: list[str] = []


class NameWeights(msgspec.Struct, frozen=True, tag="name_weights"):
    """Sets the weights version that a model should run."""

    model: str
    version: int


class ClaimOrders(msgspec.Struct, frozen=True, tag="claim_orders"):
    """Records the control host that is about to send orders to endpoints.

    Endpoints check which host sends them orders. A leader that finds a claim of
    another host must wait until enough time has passed since that host's last order.
    """

    holder: str


class ReleaseOrders(msgspec.Struct, frozen=True, tag="release_orders"):
    """Ends a claim whose last order is old enough for another host to take over."""

    holder: str


class RecordLostRequests(msgspec.Struct, frozen=True, tag="record_lost_requests"):
    """Counts requests whose endpoints closed the connection while they ran them.

    Losses that were recorded before have no effect.
    """

    lost: list[LostRequest]


DocumentCommand = (
    PutDocument | NameWeights | ClaimOrders | ReleaseOrders | RecordLostRequests
)


def summarize_command(command: DocumentCommand) -> str:
    """Return a summary of a command for the log, without the document itself."""
    if isinstance(command, PutDocument):
        isolated = len(command.isolated_accounts)
        return (
            f"version {command.version}, {len(command.content)} bytes, "
            f"{isolated} isolated accounts"
        )
    if isinstance(command, RecordLostRequests):
        return f"{len(command.lost)} lost requests"
    return repr(command)


class DocumentOutcome(msgspec.Struct, frozen=True, tag="document_kept"):
    """Current version after a command, and whether the command had an effect.

    Lost requests have an effect when a further request is refused.
    """

    version: int
    changed: bool


@dataclass(frozen=True)
class Document:
    """Configuration document; version 0 means that there is none."""

    version: int = 0
    content: bytes = b""


class _State(msgspec.Struct, array_like=True):
    revision: int
    version: int
    content: bytes
    weights: dict[str, int]
    order_holder: str = ""
    cache_sharing: CacheSharing = CacheSharing(0, [ANONYMOUS])
    crashes: CrashState = CrashState()


class DocumentStore(StateMachine):
    """Newest document and the weights version of each model.

    Attributes:
        revision: Number of commands that changed the document or a weights version,
            or by which a further request is refused. Changes of ``order_holder`` are
            not counted; routers do not need them.
        order_holder: Control host that may recently have sent orders to endpoints,
            else empty.
        cache_sharing: Accounts that share cached prefixes under the document.
        crashes: Requests that were lost with their endpoints.

    Examples:
        >>> store = DocumentStore()
        >>> store.apply(1, PutDocument(7, b"x"), 0)
        DocumentOutcome(version=7, changed=True)
        >>> store.apply(2, PutDocument(7, b"y"), 0)
        DocumentOutcome(version=7, changed=False)
        >>> DocumentStore.restore(store.snapshot()).document.content
        b'x'
    """

    def __init__(self) -> None:
        self.revision = 0
        self.document = Document()
        self.weights: dict[str, int] = {}
        self.order_holder = ""
        self.cache_sharing = CacheSharing()
        self.crashes = CrashCounter()

    @classmethod
    def restore(cls, state: bytes) -> "DocumentStore":
        """Rebuild the store from :meth:`snapshot`."""
        decoded = msgspec.msgpack.decode(state, type=_State)
        store = cls()
        store.revision = decoded.revision
        store.document = Document(decoded.version, decoded.content)
        store.weights = decoded.weights
        store.order_holder = decoded.order_holder
        store.cache_sharing = decoded.cache_sharing
        store.crashes = CrashCounter(decoded.crashes)
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
            self.cache_sharing,
            self.crashes.state(),
        )
        return msgspec.msgpack.encode(state)

    def apply(
        self, index: int, command: DocumentCommand, wall_ms: int
    ) -> DocumentOutcome:
        """Apply one committed command."""
        if isinstance(command, PutDocument):
            return self._replace_document(command)
        if isinstance(command, NameWeights):
            return self._set_weights_version(command)
        if isinstance(command, RecordLostRequests):
            return self._record_lost_requests(command, wall_ms)
        return self._update_order_holder(command)

    def _update_order_holder(
        self, command: ClaimOrders | ReleaseOrders
    ) -> DocumentOutcome:
        previous_holder = self.order_holder
        if isinstance(command, ClaimOrders):
            self.order_holder = command.holder
        elif previous_holder == command.holder:
            self.order_holder = ""
        return DocumentOutcome(
            self.document.version, self.order_holder != previous_holder
        )

    def _replace_document(self, command: PutDocument) -> DocumentOutcome:
        changed = command.version > self.document.version
        if changed:
            self.document = Document(command.version, command.content)
            self.cache_sharing = self.cache_sharing.advance(
                set(command.isolated_accounts), set(command.sharing_accounts)
            )
            self.revision += 1
        return DocumentOutcome(self.document.version, changed)

    def _record_lost_requests(
        self, command: RecordLostRequests, wall_ms: int
    ) -> DocumentOutcome:
        newly_refused = self.crashes.record(command.lost, wall_ms)
        self.revision += bool(newly_refused)
        return DocumentOutcome(self.document.version, bool(newly_refused))

    def _set_weights_version(self, command: NameWeights) -> DocumentOutcome:
        # A model runs weights version 1 until a command sets a higher one.
        current = self.weights.get(command.model, 1)
        changed = command.version > current
        if changed:
            # Copied, because readers may hold the mapping of an earlier revision.
            self.weights = {**self.weights, command.model: command.version}
            self.revision += 1
        return DocumentOutcome(self.weights.get(command.model, 1), changed)
