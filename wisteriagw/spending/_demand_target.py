"""Decision about the number of servers that the recent demand needs."""

from __future__ import annotations

import math

from wisteriagw.spending._centre_target import CentreTarget
from wisteriagw.spending._demand_history import (
    MIN_KNOWN_SECONDS,
    PEAK_WINDOW_SECONDS,
    DemandHistory,
    find_peak,
    is_known,
)

# With fewer servers in a data centre, one is too large a part of the capacity.
MIN_SCALED_SERVERS = 8
# Up to this utilization the steps of engines stay fast and prompts rarely queue.
TARGET_UTILIZATION = 0.5
# Utilization after the loss of a data centre, until its servers are replaced; beyond it
# queues grow quickly.
SURVIVING_UTILIZATION = 0.75
MIN_FRACTION = 1 / 3


def follows_demand(max_servers: int) -> bool:
    """Return whether the number of servers of a service follows the demand."""
    return max_servers >= MIN_SCALED_SERVERS


def count_needed(peak: float, centres: int) -> int:
    """Return the servers that each data centre needs for a peak.

    Load: a data centre loses all its reclaimable servers at once, and a replacement
    takes seconds to start, so the others carry the peak without it.
    """
    count = math.ceil(peak / TARGET_UTILIZATION / centres)
    if centres == 1:
        return count
    return max(count, math.ceil(peak / SURVIVING_UTILIZATION / (centres - 1)))


def choose_centre_target(
    history: DemandHistory,
    limits: tuple[int, int],
    centres: int,
    holding_seconds: float,
    now: float,
) -> CentreTarget:
    """Return the number of servers that each data centre shall have.

    Load: bursts are shorter than the start of a server, so the number covers the recent
    peak. Requests that were refused show that the estimate is too low, whatever the
    reason, so the maximum is kept for as long as a peak.

    Parameters
    ----------
    history : DemandHistory
        Demand in the last minute.
    limits : tuple of int
        Minimum and maximum of servers in each data centre.
    centres : int
        Data centres that have their servers, or get them within the usual time.
    holding_seconds : float
        Time for which this process has held the authority.
    now : float
        Current time in seconds.
    """
    low, high = limits
    demand = find_peak(history)
    peak = demand.prefill + demand.streams
    if not is_known(history, now):
        return CentreTarget(high, peak, "unknown demand")
    if not centres:
        return CentreTarget(high, peak, "no servers")
    if holding_seconds < MIN_KNOWN_SECONDS:
        return CentreTarget(high, peak, "new holder")
    if now - history.refused_at < PEAK_WINDOW_SECONDS:
        return CentreTarget(high, peak, "refusals")
    floor = max(1, low, math.ceil(high * MIN_FRACTION))
    needed = min(high, count_needed(peak, centres))
    if needed <= floor:
        return CentreTarget(min(high, floor), peak, "floor")
    return CentreTarget(needed, peak, "peak")
