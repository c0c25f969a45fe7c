"""Watches the settings file for seeds that were exchanged."""

import asyncio
import os
from collections.abc import Callable

from mustardtrack.logs import define_event, log_event
from mustardtrack.settings import SeededSettings, SettingsError, load_settings

SETTINGS_RELOADED = define_event(8981, "INFO", "settings were read again")
SETTINGS_REFUSED = define_event(8982, "WARNING", "changed settings were refused")

# The file may change without a signal.
PERIOD_S = 1.0


class SettingsWatch:
    """Reads the settings again when the file changes or when it is told to.

    Only seeds take effect in a running process; addresses and limits of a process
    are those of its start.

    Args:
        path: Settings file.
        adopt: Called with the new settings.
    """

    def __init__(self, path: str, adopt: Callable[[SeededSettings], None]):
        self._path = path
        self._adopt = adopt
        self._seen = self._stamp()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if self._stamp() != self._seen:
                self.reload()

    def reload(self) -> None:
        """Read the file now; settings that are not valid change nothing."""
        self._seen = self._stamp()
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            log_event(SETTINGS_REFUSED, error=str(error))
            return
        if not isinstance(settings, SeededSettings):
            log_event(SETTINGS_REFUSED, error="the file names no seeds, add them")
            return
        log_event(SETTINGS_RELOADED, seeds=settings.seeds)
        self._adopt(settings)

    def _stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            # The file may be replaced at this moment; the next look sees the new one.
            return 0, 0
        return status.st_mtime_ns, status.st_size
