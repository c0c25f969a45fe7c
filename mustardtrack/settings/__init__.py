"""Settings of one process, read from a YAML file and validated."""

from mustardtrack.settings.loader import SettingsError, load_settings
from mustardtrack.settings.models import (
    ControlPeer,
    Limits,
    RouterPeer,
    Settings,
    Timing,
    TlsFiles,
    split_address,
)

__all__ = [
    "ControlPeer",
    "Limits",
    "RouterPeer",
    "Settings",
    "SettingsError",
    "Timing",
    "TlsFiles",
    "load_settings",
    "split_address",
]
