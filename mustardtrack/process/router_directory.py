"""Directory of routers with the time limits of a deployment."""

from mustardtrack.membership.directory import RouterDirectory
from mustardtrack.settings import SeededSettings

# Routers silent for this long are left out of directory answers. Routers report
# every 0.4 s, so three lost reports remove a router.
ROUTER_LEASE_MS = 1400


def create_directory(
    settings: SeededSettings, is_formed: bool, now_ms: int
) -> RouterDirectory:
    """Return the directory of a control host that starts.

    Args:
        settings: Settings of the control host.
        is_formed: Whether its disk holds the state of a control group.
        now_ms: Monotonic time.
    """
    # A router without contact refuses requests after ``revoke_ms`` at the latest.
    memory_ms = int(settings.retries.window_s * 1000) + settings.bounds.revoke_ms
    # At the first start of a deployment, no router was there before.
    is_first_start = settings.bootstrap and not is_formed
    complete_from_ms = now_ms if is_first_start else now_ms + memory_ms
    return RouterDirectory(ROUTER_LEASE_MS, memory_ms, complete_from_ms)
