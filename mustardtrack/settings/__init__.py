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
from mustardtrack.settings.seeded import SeededSettings

__all__ = [
    "ControlPeer",
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
