"""What the task of a replica needs from the state that it builds."""

from abc import ABC, abstractmethod
from typing import Any


class StateMachine(ABC):
    """State that a replica builds from the committed commands.

    Attributes:
        revision: Increases with each change that others must learn of.
    """

    revision: int

    @abstractmethod
    def apply(self, index: int, command: Any, wall_ms: int) -> Any:
        """Apply one committed command and return its outcome."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the encoded state."""
