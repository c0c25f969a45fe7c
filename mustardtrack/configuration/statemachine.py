"""Interface of the state machines that a replica applies commands to."""

from abc import ABC, abstractmethod
from typing import Any


class StateMachine(ABC):
    """State built by applying the committed commands.

    Attributes:
        revision: Increases with each change that must be propagated.
    """

    revision: int

    @abstractmethod
    def apply(self, index: int, command: Any, wall_ms: int) -> Any:
        """Apply one committed command and return its outcome."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the encoded state."""
