"""What a router can do and how much of it is used, for the directory."""

from mustardtrack.admission.schedulinglag import SchedulingLag
from mustardtrack.membership.routershares import RouterCapacity
from mustardtrack.settings.seeded import HostLimits

# Delay at which a router has no processor time left: a final answer is due half a
# second after a time limit.
FULL_LAG_MS = 500


def measure_capacity(
    limits: HostLimits, lag: SchedulingLag, now_ms: int
) -> RouterCapacity:
    """Return the resources of this router from its settings, and its load.

    Args:
        limits: Resources of the host.
        lag: Delay with which this process gets the processor.
        now_ms: Monotonic time.
    """
    share = 1.0 if limits.cpu_share is None else limits.cpu_share
    return RouterCapacity(
        millicores=round((limits.cores or 0.0) * share * 1000),
        memory_mb=round(limits.memory_mb or 0.0),
        descriptors=limits.descriptors or 0,
        link_kbps=round((limits.link_mbps or 0.0) * 1000),
        pressure_percent=round(100 * lag.value_ms(now_ms) / FULL_LAG_MS),
    )
