"""Watches the settings file for changed seeds."""

import asyncio
import os
from collections.abc import Callable

from mustardtrack.logs import define_event, log_event
from mustardtrack.settings import SeededSettings, SettingsError, load_settings

SETTINGS_RELOADED = define_event(8981, "INFO", "settings reloaded")
SETTINGS_REFUSED = define_event(8982, "WARNING", "changed settings rejected")

# The file is polled because it may be replaced without a signal.
POLL_PERIOD_S = 1.0


class SettingsWatch:
    """Reloads the settings when the file changes or when ``reload`` is called.

    Only seeds take effect in a running process; addresses and limits apply from the
    next start.

    Args:
        path: Settings file.
        apply_settings: Called with the new settings.
    """

    def __init__(self, path: str, apply_settings: Callable[[SeededSettings], None]):
        self._path = path
        self._apply_settings = apply_settings
        self._seen_file_version = self._file_version()

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            if self._file_version() != self._seen_file_version:
                self.reload()

    def reload(self) -> None:
        """Reload the file now; invalid settings are logged and ignored."""
        self._seen_file_version = self._file_version()
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            log_event(SETTINGS_REFUSED, error=str(error))
            return
        if not isinstance(settings, SeededSettings):
            log_event(
                SETTINGS_REFUSED, error="the file contains no seeds; add the key seeds"
            )
            return
        log_event(SETTINGS_RELOADED, seeds=settings.seeds)
        self._apply_settings(settings)

    def _file_version(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            # The file may be being replaced; the next poll sees the new one.
            return 0, 0
        return status.st_mtime_ns, status.st_size
