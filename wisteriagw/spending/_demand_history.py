"""Demand for a service in the last minute."""

from __future__ import annotations

import math
from typing import NamedTuple

from wisteriagw.spending._service_demand import ServiceDemand

# Bursts recur within a minute, and a server that is ordered when one begins starts too
# late for it.
PEAK_WINDOW_SECONDS = 60.0
# A shorter time shows too little of the load to release servers.
MIN_KNOWN_SECONDS = 10.0
# The count of refusals decays with a time constant of 1 s; one counts for 3 s.
MIN_REFUSED = 0.05


class DemandHistory(NamedTuple):
    """Peaks of each second, and since when the demand has been known.

    Attributes
    ----------
    peaks : tuple
        Rows of second and highest ``prefill`` and ``streams`` in it, oldest first.
    known_since : float or None
        Time from which the demand has been known without a gap; None if it is unknown.
    refused_at : float
        Time at which requests were last being refused.
    """

    peaks: tuple[tuple[int, float, float], ...] = ()
    known_since: float | None = None
    refused_at: float = -math.inf


def update_history(
    history: DemandHistory, demand: ServiceDemand | None, now: float
) -> DemandHistory:
    """Return the history after a sample, None if the demand is unknown."""
    oldest = math.floor(now - PEAK_WINDOW_SECONDS)
    peaks = [row for row in history.peaks if row[0] >= oldest]
    if demand is None:
        return history._replace(peaks=tuple(peaks), known_since=None)
    second = math.floor(now)
    prefill, streams = demand.prefill, demand.streams
    if peaks and peaks[-1][0] == second:
        _, last_prefill, last_streams = peaks.pop()
        prefill, streams = max(prefill, last_prefill), max(streams, last_streams)
    peaks.append((second, prefill, streams))
    return DemandHistory(
        tuple(peaks),
        now if history.known_since is None else history.known_since,
        now if demand.refused >= MIN_REFUSED else history.refused_at,
    )


def find_peak(history: DemandHistory) -> ServiceDemand:
    """Return the peaks of both kinds of work, which need not coincide.

    Load: bursts that alternate between long prompts and short answers every 3 s.
    Engines change their stage too slowly to serve both in turn, so both peaks are
    provided for.
    """
    return ServiceDemand(
        max((row[1] for row in history.peaks), default=0.0),
        max((row[2] for row in history.peaks), default=0.0),
    )


def is_known(history: DemandHistory, now: float) -> bool:
    """Return whether the demand has been known for long enough to release servers."""
    since = history.known_since
    return since is not None and now - since >= MIN_KNOWN_SECONDS
