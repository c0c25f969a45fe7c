"""Stored outcomes of operator commands, for deduplication by command id."""

from collections import OrderedDict
from hashlib import blake2b
from typing import Any

import msgspec

from mustardtrack.configuration.commands import OperatorCommand, encode_command
from mustardtrack.configuration.outcomes import Outcome, decode_outcome, encode_outcome

MAX_OUTCOMES = 10_000


class OutcomeStore:
    """Outcomes of the last 10,000 operator commands by command id.

    A digest of each command is stored to detect the reuse of an id for a different
    command.
    """

    def __init__(self) -> None:
        self._outcomes: OrderedDict[str, tuple[bytes, bytes]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._outcomes)

    def find(self, command: OperatorCommand) -> Outcome | None:
        """Return the stored outcome of a resent command.

        Raises:
            CommandIdReusedError: If the id was used for another command.
        """
        stored = self._outcomes.get(command.command_id)
        if stored is None:
            return None
        digest, outcome = stored
        if digest != _digest(command):
            raise CommandIdReusedError(
                f"command id {command.command_id!r} belongs to another command"
            )
        return decode_outcome(outcome)

    def store(self, command: OperatorCommand, outcome: Outcome) -> None:
        """Store an outcome and drop the oldest one beyond the limit."""
        entry = (_digest(command), encode_outcome(outcome))
        self._outcomes[command.command_id] = entry
        if len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)

    def dump(self) -> list[Any]:
        """Return the outcomes as values that msgspec can encode."""
        return [(key, *entry) for key, entry in self._outcomes.items()]

    @classmethod
    def load(cls, data: list[Any]) -> "OutcomeStore":
        """Rebuild a store from decoded values of :meth:`dump`."""
        store = cls()
        for key, digest, outcome in data:
            store._outcomes[key] = (digest, outcome)
        return store


class CommandIdReusedError(ValueError):
    """A command id was used for two different commands; use a new id."""


def _digest(command: OperatorCommand) -> bytes:
    fields = msgspec.structs.asdict(command)
    if "fields" in fields:
        # A resent command may list its fields in another order.
        command = msgspec.structs.replace(
            command, fields=dict(sorted(fields["fields"].items()))
        )
    return blake2b(encode_command(command), digest_size=8).digest()
