"""Guards against documents that revert or differ between replicas."""

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.admission.crashcounts import CRASH_LIMIT, LostRequest
from mustardtrack.configuration.commands import (
    Proposal,
    decode_proposal,
    encode_proposal,
)
from mustardtrack.configuration.documents import (
    ClaimOrders,
    DocumentStore,
    NameWeights,
    PutDocument,
    RecordLostRequests,
    ReleaseOrders,
)

PUTS = st.builds(PutDocument, st.integers(1, 9), st.binary(max_size=3))
WEIGHTS = st.builds(NameWeights, st.sampled_from(["m", "n"]), st.integers(1, 9))
LOSSES = st.builds(LostRequest, st.sampled_from("ab"), st.sampled_from("1234"))
LOST = st.builds(RecordLostRequests, st.lists(LOSSES, max_size=3))


@given(st.lists(PUTS | WEIGHTS, max_size=20))
def test_version_and_content_never_revert(commands):
    store = DocumentStore()
    contents = {}
    for index, command in enumerate(commands, 1):
        before = store.document.version
        store.apply(index, command, 0)
        assert store.document.version >= before
        content = contents.setdefault(store.document.version, store.document.content)
        assert content == store.document.content


@given(st.lists(PUTS | WEIGHTS | LOST, max_size=20))
def test_snapshot_restores_everything(commands):
    store = DocumentStore()
    for index, command in enumerate(commands, 1):
        store.apply(index, command, 0)
    copy = DocumentStore.restore(store.snapshot())
    assert copy.snapshot() == store.snapshot()
    assert (copy.revision, copy.weights) == (store.revision, store.weights)


def test_second_content_of_a_version_is_acknowledged_without_effect():
    store = DocumentStore()
    assert store.apply(1, PutDocument(5, b"a"), 0).changed
    again = store.apply(2, PutDocument(5, b"b"), 0)
    assert (again.version, again.changed) == (5, False)
    assert store.document.content == b"a"


def test_document_commands_are_encoded_and_decoded_as_proposals():
    lost = RecordLostRequests([LostRequest("f", "1", 5)])
    for command in (PutDocument(3, b"x", ["a"], ["b"]), NameWeights("m", 2), lost):
        assert decode_proposal(encode_proposal(Proposal(1, command))).command == command


def test_revision_increases_when_a_further_request_is_refused():
    """Guards against routers that are not told, and against one reply for each loss."""
    store = DocumentStore()
    revisions = []
    for number in range(CRASH_LIMIT + 1):
        lost = [LostRequest("f", str(number)), LostRequest(f"victim{number}", "1")]
        store.apply(number + 1, RecordLostRequests(lost), 0)
        revisions.append(store.revision)
    assert revisions == [0] * (CRASH_LIMIT - 1) + [1, 1]


def test_order_claim_is_released_only_by_its_holder():
    """Guards against two hosts that send orders to endpoints within one lease."""
    store = DocumentStore()
    store.apply(1, ClaimOrders("a"), 0)
    store.apply(2, ReleaseOrders("b"), 0)
    assert DocumentStore.restore(store.snapshot()).order_holder == "a"
    store.apply(3, ReleaseOrders("a"), 0)
    assert store.order_holder == ""
