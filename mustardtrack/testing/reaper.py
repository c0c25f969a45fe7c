"""Kills the processes of a fleet after the process that started them has died.

Reads one line ``PID START_TIME`` per process from standard input. At the end of
the input it kills those that are still running. The start time, in clock ticks since
boot, distinguishes them from later processes with the same process id. It is run as a
file rather than as a module, so that no package is imported.
"""

import os
import signal
import sys
from pathlib import Path

# Indexes of fields of /proc/PID/stat, counted after the command name.
STATE_FIELD = 0
START_TIME_FIELD = 19


def read_start_time(pid: int) -> str:
    """Return the start time of a process, empty if it has exited.

    Examples:
        >>> read_start_time(os.getpid()).isdigit()
        True
    """
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return ""
    # The command name in parentheses may contain spaces, the fields after it do not.
    fields = stat.rpartition(")")[2].split()
    return "" if fields[STATE_FIELD] == "Z" else fields[START_TIME_FIELD]


def main() -> None:
    """Wait for the end of the input, then kill the processes still running."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)
    started = [line.split() for line in sys.stdin]
    for pid, start_time in started:
        if read_start_time(int(pid)) == start_time:
            os.kill(int(pid), signal.SIGKILL)


if __name__ == "__main__":
    main()
