"""Modes of the forwarder, without I/O."""

from typing import Literal

import msgspec

Action = Literal["pass", "drop", "close"]


class Mode(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /mode``.

    Attributes:
        mode: ``pass`` forwards, ``drop`` silently discards, ``close`` resets.
        existing_only: New connections are forwarded whatever the mode is.
    """

    mode: Action
    existing_only: bool = False

    def for_new(self) -> Action:
        """Return what happens to a connection made in this mode.

        Examples:
            >>> Mode("drop", existing_only=True).for_new()
            'pass'
        """
        return "pass" if self.existing_only else self.mode
