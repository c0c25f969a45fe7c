"""Modes of the TCP forwarder, without I/O."""

from typing import Literal

import msgspec

Action = Literal["pass", "drop", "close"]


class Mode(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /mode``.

    Attributes:
        mode: ``pass`` forwards, ``drop`` discards silently, ``close`` resets.
        existing_only: The mode does not apply to new connections; these are
            forwarded.
    """

    mode: Action
    existing_only: bool = False

    def new_connection_action(self) -> Action:
        """Return the action for a new connection.

        Examples:
            >>> Mode("drop", existing_only=True).new_connection_action()
            'pass'
        """
        return "pass" if self.existing_only else self.mode
