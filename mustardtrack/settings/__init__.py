"""Settings of one process, read from a YAML file and validated."""

from typing import TYPE_CHECKING, Any

from mustardtrack.settings.loader import SettingsError, load_settings
from mustardtrack.settings.seeded import HostLimits, SeededSettings, split_address

if TYPE_CHECKING:
    from mustardtrack.settings.models import (
        ControlPeer,
        Limits,
        RouterPeer,
        Settings,
        Timing,
        TlsFiles,
    )

__all__ = [
    "ControlPeer",
    "HostLimits",
    "Limits",
    "RouterPeer",
    "SeededSettings",
    "Settings",
    "SettingsError",
    "Timing",
    "TlsFiles",
    "load_settings",
    "split_address",
]


def __getattr__(name: str) -> Any:
    """Import the pydantic models on first use; seeded processes do not need them."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from mustardtrack.settings import models

    return getattr(models, name)
