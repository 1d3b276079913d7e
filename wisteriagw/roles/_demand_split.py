"""Decision about the stages of engines whose number follows the demand."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.roles._stage_need import StageNeed

# Beyond this utilization of an engine prompts queue, or steps slow down.
TARGET_UTILIZATION = 0.5
# A prompt that finds no prefill engine delays the streams of a decode engine, so some
# engines stay in that stage however few prompts came in the last minute, and more of
# them while the streams do not need these engines.
MIN_PREFILL_FRACTION = 0.2
IDLE_PREFILL_FRACTION = 0.4
MIN_DECODE_FRACTION = 0.25
# Deviation in engines that is accepted where a share decides and not a need: the shares
# move with the peaks and the number of engines, and each change makes an engine
# unavailable.
MAX_DEVIATION = 1


def choose_lacking_stage(engines: int, prefill: int, need: StageNeed) -> str | None:
    """Return the stage that needs an engine of the other one, or None.

    Load: the work swings between long prompts and short answers every 3 s. As the peaks
    of both are provided for, no engine changes its stage with a swing, and none changes
    while both stages have what they need.

    Parameters
    ----------
    engines, prefill : int
        All engines, at least two, and those of the prefill stage.
    need : StageNeed
        Recent peaks of the work.
    """
    low = max(1, round(engines * MIN_PREFILL_FRACTION))
    high = max(low, engines - max(1, round(engines * MIN_DECODE_FRACTION)))
    wanted = max(low, math.ceil(need.prefill / TARGET_UTILIZATION))
    decode = max(engines - high, math.ceil(need.decode / TARGET_UTILIZATION))
    deviation = 0
    if wanted + decode > engines:
        deviation = MAX_DEVIATION
        share = wanted / (wanted + decode)
        wanted = min(high, max(low, round(engines * share)))
        decode = engines - wanted
    idle = min(round(engines * IDLE_PREFILL_FRACTION), engines - decode)
    least = max(wanted - deviation, idle - MAX_DEVIATION)
    if not prefill or prefill < least:
        return "prefill"
    if prefill == engines or engines - prefill < decode - deviation:
        return "decode"
    return None
