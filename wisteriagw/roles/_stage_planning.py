"""Decision which engines read prompts for others."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisteriagw.roles._stage_change import StageChange

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wisteriagw.roles._staged_engine import StagedEngine

# Bounds on the part of the engines that read. Readers are twice as fast as the others,
# but cannot answer; below the lower bound long prompts would wait for each other.
MIN_PREFILL_PART = 0.4
MAX_PREFILL_PART = 0.65
# Part of an engine's slots up to which its steps stay quick.
COMFORTABLE_BATCH = 0.5
# Bursts come again within this time, and each change takes an engine away for seconds.
PEAK_HALF_LIFE_SECONDS = 60.0
# Each change is priced and takes an engine away, so a difference of one stays.
TOLERATED_DIFFERENCE = 1
MAX_CHANGING = 2


def update_peak(peak: float, streams: float, seconds: float) -> float:
    """Return the recent peak of the streams after some seconds."""
    return max(streams, peak * 0.5 ** (seconds / PEAK_HALF_LIFE_SECONDS))


def count_readers(engines: int, peak_streams: float, slots: int) -> int:
    """Return how many engines read, so that the others carry the streams."""
    answering = math.ceil(peak_streams / (slots * COMFORTABLE_BATCH))
    low = max(1, round(engines * MIN_PREFILL_PART))
    high = max(1, round(engines * MAX_PREFILL_PART))
    return min(engines - 1, max(low, min(high, engines - answering)))


def plan_stages(
    engines: Sequence[StagedEngine], peak_streams: float, slots: int
) -> StageChange | None:
    """Return the next change that brings the stages to their parts, or None.

    Readers are spread over the data centres, because a data centre may lose all its
    reclaimable engines at once.

    Parameters
    ----------
    engines : sequence of StagedEngine
        Engines of a service.
    peak_streams : float
        Recent peak of the requests that are being answered.
    slots : int
        Requests that an engine answers at once.
    """
    count = len(engines)
    if count < 2 or sum(engine.changing for engine in engines) >= MAX_CHANGING:
        return None
    target = count_readers(count, peak_streams, slots)
    readers = [engine for engine in engines if engine.stage == "prefill"]
    if not readers or len(readers) < target - TOLERATED_DIFFERENCE:
        return pick_change(engines, "prefill")
    if len(readers) > target + TOLERATED_DIFFERENCE:
        return pick_change(engines, "decode")
    return None


def pick_change(engines: Sequence[StagedEngine], stage: str) -> StageChange | None:
    """Return the change of the engine that is missed least in its stage.

    It is taken from the data centre with the fewest engines of the wanted stage.
    """
    counts: dict[str, int] = {}
    for engine in engines:
        counts[engine.data_centre] = counts.get(engine.data_centre, 0) + (
            engine.stage == stage
        )
    candidates = [
        engine for engine in engines if engine.stage != stage and not engine.changing
    ]
    if not candidates:
        return None
    chosen = min(
        candidates,
        key=lambda engine: (counts[engine.data_centre], engine.streams, engine.name),
    )
    return StageChange(chosen.name, stage)
