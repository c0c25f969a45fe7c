"""State synchronization messages between routers and control hosts."""

import msgspec

from mustardtrack.admission.crashcounts import LostRequest
from mustardtrack.admission.partcrashes import CrashEvidence, RefusedParts
from mustardtrack.admission.partwatch import PartReport
from mustardtrack.admission.ratelimits import Observation
from mustardtrack.membership.endpoint_list import EndpointList
from mustardtrack.membership.endpoint_list_changes import EndpointListChange
from mustardtrack.membership.routershares import UNKNOWN_CAPACITY, RouterCapacity
from mustardtrack.routing.endpointnotices import Incarnation
from mustardtrack.routing.enginespeeds import LoadReport
from mustardtrack.routing.pacemessages import PaceReport, PaceShare
from mustardtrack.routing.weightsversions import VersionAges

# Staleness reported by a replica without a valid leader lease.
UNCONFIRMED_STALE_MS = 1_000_000_000


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """Long-poll request of a router for newer state; renews its directory entry.

    ``callers`` is the address on which the router serves callers. The versions and
    the term and sequence of the endpoint list are those that the router has. The reply
    may be delayed by up to ``hold_ms`` until there is something newer.
    ``crash_revision`` is that of its evidence on crashes, and ``refused_parts`` are
    the refusals in that evidence, for a host that has none. ``weights_ages`` are the
    times in ms since weights versions were named. ``details_digest`` is that of the
    details that the router has (:mod:`mustardtrack.ports.syncdetails`). ``capacity`` is
    what the router can do and how much of it is used.
    """

    name: str
    zone: str
    callers: str
    is_ready: bool
    document_version: int
    revision: int
    list_term: int
    list_sequence: int
    hold_ms: int
    crash_revision: str = ""
    refused_parts: list[RefusedParts] = []
    weights_ages: VersionAges = {}
    details_digest: int = 0
    capacity: RouterCapacity = UNKNOWN_CAPACITY


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """State that is newer than that of the router.

    ``stale_ms`` is the time since a majority confirmed the state of the sender.
    ``leader`` is the current leader as far as the sender knows.
    ``refused`` holds fingerprints of requests that crash the endpoints they run on.
    ``change`` is the difference between the router's endpoint list and the newest;
    ``endpoints`` is the full list if the sender no longer has the router's version.
    ``content`` is the compressed document, empty if the router has it already.
    ``crash_evidence`` is set by the leader if the router does not have it; ``limits``
    are the limits of endpoints that the leader knows, and ``prefill_rates`` the tokens
    that the engines of each service prefill per ms. ``weights_ages`` are the times in
    ms since weights versions were named. ``cache_generation`` is the generation of the
    shared prefix cache under the document in ``content``. ``router_count`` is the
    number of routers that work on requests, and ``recent_router_count`` that of the
    routers that may have used the retry budget in its window, 0 if it is not known.
    The details, which rarely change, are there if ``has_details`` is set.
    ``pace_shares`` are the router's shares of the endpoints that are being paced.
    """

    stale_ms: int
    revision: int
    document_version: int
    content: bytes
    weights: dict[str, int]
    endpoints: EndpointList | None
    controls: list[str]
    router_count: int
    leader: str = ""
    refused: list[str] = []
    change: EndpointListChange | None = None
    crash_evidence: CrashEvidence | None = None
    limits: dict[str, Observation] = {}
    prefill_rates: dict[str, float] = {}
    weights_ages: VersionAges = {}
    cache_generation: int = 0
    recent_router_count: int = 0
    details_digest: int = 0
    has_details: bool = False
    pace_shares: dict[str, PaceShare] = {}

    @property
    def is_confirmed(self) -> bool:
        """Whether the sender leads and has applied all that was acknowledged."""
        return self.stale_ms < UNCONFIRMED_STALE_MS


class DocumentReadReply(msgspec.Struct, frozen=True, array_like=True):
    """Newest document; ``is_linearizable`` is false without a leader lease.

    ``is_known`` replaces the content if the host that asks has the same version. A
    version has one content in the replicated state.
    """

    is_linearizable: bool
    version: int = 0
    content: bytes = b""
    is_known: bool = False

    def without(self, known_version: int) -> "DocumentReadReply":
        """Return the reply for a host that has a version."""
        if not self.version or self.version != known_version:
            return self
        return DocumentReadReply(self.is_linearizable, self.version, is_known=True)

    def with_known(self, version: int, content: bytes) -> "DocumentReadReply":
        """Return the reply with the content of the host that asked.

        Examples:
            >>> reply = DocumentReadReply(True, 7, b"x")
            >>> reply.without(7).with_known(7, b"x") == reply
            True
            >>> reply.without(6) == reply
            True
        """
        if not self.is_known:
            return self
        if self.version != version:
            return DocumentReadReply(False)
        return DocumentReadReply(self.is_linearizable, version, content)


class ControlHosts(msgspec.Struct, frozen=True, array_like=True):
    """What the leader knows of hosts and endpoints, sent to the other replicas.

    ``prefill_rates`` are the tokens that the engines of each service prefill per ms,
    ``weights_ages`` the times in ms since weights versions were named.
    """

    term: int
    names: list[str]
    endpoints: EndpointList
    prefill_rates: dict[str, float] = {}
    weights_ages: VersionAges = {}


class PromptProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of placed prompts since the last message of a router.

    ``prefilled`` holds the ids of requests whose first token has arrived,
    ``ended`` those of finished requests.
    ``unreachable_engines`` holds the engines that the router could not reach.
    ``unused`` keeps the positions of the other fields.
    ``refused`` holds an engine for each request that it did not run.
    ``parts`` reports lost and answered prompts, ``limits`` the limits of endpoints that
    were observed, and ``leaving`` the endpoints that announced that they leave.
    ``unused_losses`` keeps the positions of the fields after it.
    ``allotment_usage`` is what the router counted itself against the allotment of each
    account, negative for requests that did not run.
    ``withdrawn_counts`` are the ids of requests that the leader may have counted,
    although its answer did not arrive.
    ``loads`` are the newest loads of the engines that report how long work takes.
    ``paces`` is what the router saw of endpoints that are being paced or that failed.
    """

    prefilled: list[str]
    ended: list[str]
    unreachable_engines: list[str]
    unused: list[str] = []
    refused: list[str] = []
    parts: PartReport = PartReport()
    limits: dict[str, Observation] = {}
    leaving: list[Incarnation] = []
    unused_losses: list[LostRequest] = []
    allotment_usage: dict[str, float] = {}
    withdrawn_counts: list[str] = []
    loads: dict[str, LoadReport] = {}
    paces: dict[str, PaceReport] = {}
