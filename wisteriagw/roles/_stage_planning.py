"""Decision about the number of engines of the prefill stage."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisteriagw.roles._stage_change import StageChange

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wisteriagw.roles._staged_engine import StagedEngine

# Bounds on the fraction of prefill engines. They run a prefill twice as fast as decode
# engines, but cannot answer; below the lower bound long prompts would queue up.
MIN_PREFILL_FRACTION = 0.4
MAX_PREFILL_FRACTION = 0.65
# Fraction of an engine's slots up to which its steps stay fast.
TARGET_BATCH_FRACTION = 0.5
# Bursts recur within this time, and each change makes an engine unavailable for
# seconds.
PEAK_HALF_LIFE_SECONDS = 60.0
# A change has a cost and makes an engine unavailable, so a deviation of one engine from
# the target is accepted.
MAX_DEVIATION = 1
MAX_CHANGING = 2


def update_peak(peak: float, streams: float, seconds: float) -> float:
    """Return the decaying peak of the streams after a sample."""
    return max(streams, peak * 0.5 ** (seconds / PEAK_HALF_LIFE_SECONDS))


def count_prefill_engines(engines: int, peak_streams: float, slots: int) -> int:
    """Return the number of prefill engines that leaves enough engines for decode."""
    decode = math.ceil(peak_streams / (slots * TARGET_BATCH_FRACTION))
    low = max(1, round(engines * MIN_PREFILL_FRACTION))
    high = max(1, round(engines * MAX_PREFILL_FRACTION))
    return min(engines - 1, max(low, min(high, engines - decode)))


def plan_stages(
    engines: Sequence[StagedEngine], peak_streams: float, slots: int
) -> StageChange | None:
    """Return the next change that brings the stages to their targets, or None.

    Prefill engines are spread over the data centres, because a data centre may lose all
    its reclaimable engines at once.

    Load: all decode engines name limits below the rate of the streams. Each stream is a
    request to one of them, but only long prompts are one to a prefill engine, so an
    engine without a limit is of more use for decode.

    Parameters
    ----------
    engines : sequence of StagedEngine
        Engines of a service.
    peak_streams : float
        Recent peak of concurrent requests.
    slots : int
        Requests that an engine serves at once.
    """
    count = len(engines)
    if count < 2 or sum(engine.changing for engine in engines) >= MAX_CHANGING:
        return None
    target = count_prefill_engines(count, peak_streams, slots)
    prefill_engines = [engine for engine in engines if engine.stage == "prefill"]
    unlimited = [engine for engine in engines if not engine.limited]
    can_swap = len(prefill_engines) > 1 and any(not e.changing for e in unlimited)
    if can_swap and all(engine.stage == "prefill" for engine in unlimited):
        return pick_change(engines, "decode")
    if not prefill_engines or len(prefill_engines) < target - MAX_DEVIATION:
        return pick_change(engines, "prefill")
    if len(prefill_engines) > target + MAX_DEVIATION:
        return pick_change(engines, "decode")
    return None


def pick_change(engines: Sequence[StagedEngine], stage: str) -> StageChange | None:
    """Return the change of one engine to a stage, or None.

    Engines without a limit go to decode first, and the others to prefill. Of these, the
    engine is in the data centre with the fewest engines of that stage, and has the
    fewest streams there.
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
        key=lambda engine: (
            engine.limited is (stage == "decode"),
            counts[engine.data_centre],
            engine.streams,
            engine.name,
        ),
    )
    return StageChange(chosen.name, stage)
