"""Decision which engines read prompts for others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.roles._stage_change import StageChange

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wisteriagw.roles._staged_engine import StagedEngine

# Engines of the prefill stage read at twice the speed of the others, which need most of
# a step's time only when their batch is full; so more than half read.
PREFILL_PART = 0.6
# Each change takes an engine away for seconds and is priced, so a surplus of one stays.
MAX_SURPLUS = 1
MAX_CHANGING = 2


def plan_stages(
    engines: Sequence[StagedEngine], prefill_part: float = PREFILL_PART
) -> StageChange | None:
    """Return the next change that brings the stages to their parts, or None.

    Readers are spread over the data centres, because a data centre may lose all its
    reclaimable engines at once.
    """
    count = len(engines)
    if count < 2 or sum(engine.changing for engine in engines) >= MAX_CHANGING:
        return None
    target = min(count - 1, max(1, round(count * prefill_part)))
    readers = [engine for engine in engines if engine.stage == "prefill"]
    if len(readers) < target:
        return pick_change(engines, "prefill")
    if len(readers) > target + MAX_SURPLUS:
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
