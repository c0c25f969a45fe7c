"""Daemon of a host whose disk can be made full, for tests with real processes.

While the file ``<data folder>.full`` exists, writes to files of the data folder fail
after their first half, and files there cannot be created or renamed.
"""

import errno
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mustardtrack.process.daemon import main
from mustardtrack.settings import SeededSettings, load_settings


def full_disk_marker(data_folder: Path) -> Path:
    """Return the file whose presence makes the disk of a data folder full."""
    return data_folder.with_name(data_folder.name + ".full")


class FullDisk:
    """Replaces the file operations of this process by ones that a full disk refuses."""

    def __init__(self, data_folder: Path):
        self._folder = data_folder
        self._marker = full_disk_marker(data_folder)
        self._write, self._open, self._replace = os.write, os.open, os.replace

    def install(self) -> None:
        """Replace the operations in the module ``os``."""
        operations: dict[str, Callable[..., Any]] = {
            "write": self._write_if_room,
            "open": self._open_if_room,
            "replace": self._replace_if_room,
        }
        for name, operation in operations.items():
            setattr(os, name, operation)

    def _refuses(self, path: str | Path) -> bool:
        return Path(path).is_relative_to(self._folder) and self._marker.exists()

    def _write_if_room(self, descriptor: int, data: bytes) -> int:
        if self._refuses(os.readlink(f"/proc/self/fd/{descriptor}")):
            self._write(descriptor, data[: len(data) // 2])
            raise _no_space_error()
        return self._write(descriptor, data)

    def _open_if_room(self, path: Any, flags: int, *args: Any, **options: Any) -> int:
        if flags & os.O_CREAT and self._refuses(path):
            raise _no_space_error()
        return self._open(path, flags, *args, **options)

    def _replace_if_room(self, source: Any, target: Any) -> None:
        if self._refuses(target):
            raise _no_space_error()
        self._replace(source, target)


def _no_space_error() -> OSError:
    return OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def run_with_full_disk() -> int:
    """Run the daemon whose settings file the command line names."""
    settings = load_settings(sys.argv[2])
    if isinstance(settings, SeededSettings) and settings.data_folder is not None:
        FullDisk(Path(settings.data_folder)).install()
    return main()


if __name__ == "__main__":
    sys.exit(run_with_full_disk())
