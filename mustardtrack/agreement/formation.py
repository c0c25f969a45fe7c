"""Initial formation of a cluster on an explicit operator command."""

from collections.abc import Sequence

from mustardtrack.agreement.entries import ReplicaId
from mustardtrack.ports import FormReply


class FormationRefusedError(Exception):
    """The cluster must not be formed; the message states the remedy."""


def plan_formation(
    names: Sequence[str], replies: Sequence[FormReply]
) -> tuple[ReplicaId, ...]:
    """Choose the voters of a new cluster from the replies of all replicas.

    Args:
        names: Names of all configured control replicas.
        replies: Reply of each replica to a probe.

    Returns:
        The voters to pass to ``Replica.form`` on every replica.

    Raises:
        FormationRefusedError: Unless every replica replied that its disk is
            uninitialized or belongs to the formation of exactly these disks.

    Examples:
        >>> plan_formation(["a"], [FormReply(name="a", disk="1", formed=False)])
        (ReplicaId(name='a', disk='1'),)
    """
    by_name = {reply.name: reply for reply in replies}
    missing = sorted(set(names) - set(by_name))
    if missing:
        raise FormationRefusedError(
            f"replicas {missing} did not reply, start them and form again"
        )
    unknown = sorted(set(by_name) - set(names))
    if unknown:
        raise FormationRefusedError(
            f"replicas {unknown} are not configured, correct the control settings"
        )
    voters = tuple(ReplicaId(name, by_name[name].disk) for name in sorted(names))
    for reply in replies:
        formed_with = {ReplicaId(name, disk) for name, disk in reply.voters}
        if reply.formed and formed_with != set(voters):
            raise FormationRefusedError(
                f"replica {reply.name!r} already belongs to another formation; a new "
                "disk joins a running cluster by itself, and to start over remove the "
                "data folders of all replicas"
            )
    return voters
