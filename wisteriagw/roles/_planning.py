"""Decision about the role change of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.roles._role_alternative import RoleAlternative
from wisteriagw.roles._role_change import RoleChange
from wisteriagw.roles._roles_decision import RolesDecision
from wisteriagw.routing import compute_prefill_rate

if TYPE_CHECKING:
    from wisteriagw.roles._engine_role import EngineRole
    from wisteriagw.roles._roles_view import RolesView

# The mix swings within minutes; a change must pay off in a fraction of that time.
HORIZON_SECONDS = 60.0
# The engine is unavailable for the change, which takes 3 to 10 s after it has drained;
# the worst case is assumed.
CHANGE_SECONDS = 12.0
MIN_SECONDS_BETWEEN_CHANGES = 15.0
MIN_SECONDS_BEFORE_CHANGE_BACK = 45.0
# Above this load, queues grow faster than the load.
TARGET_LOAD = 0.7
# In the unit of ``estimate_overload`` times seconds; noise stays below it.
MIN_NET_GAIN = 0.8
# From this number of engines on, one always has the prefill role: long prompts are too
# slow on decode engines at any load.
MIN_ENGINES_FOR_PREFILL = 3
SECONDS_BETWEEN_TOKENS = 0.03
DEMAND_VALID_SECONDS = 20.0
# Several recent changes mean that the mix is swinging, and that a gain lasts for less
# than the horizon.
RECENT_CHANGES_SECONDS = 300.0
RECENT_COST_FACTOR = 1.0


def plan_roles(view: RolesView, now: float) -> RolesDecision:
    """Return the role change with the highest net gain, if one is worth its cost."""
    reason = find_obstacle(view, now)
    if reason:
        return RolesDecision((), reason)
    ready = [engine for engine in view.engines if engine.available]
    count = len(ready)
    prefill = sum(1 for engine in ready if engine.role == "prefill")
    if prefill == 0 and count >= MIN_ENGINES_FOR_PREFILL:
        change = RoleChange(pick_engine(ready, "prefill").name, "prefill")
        return RolesDecision((change,), "no prefill engine is left for long prompts")
    overload = estimate_overload(view, prefill, count)
    best: RoleAlternative | None = None
    alternatives = []
    for target, meanwhile in ((prefill + 1, prefill), (prefill - 1, prefill - 1)):
        if target < 1 or target > count - 1:
            continue
        gain = HORIZON_SECONDS * (overload - estimate_overload(view, target, count))
        loss = estimate_overload(view, meanwhile, count - 1) - overload
        cost = max(0.0, loss) * CHANGE_SECONDS + MIN_NET_GAIN
        cost *= 1.0 + RECENT_COST_FACTOR * view.recent_changes
        option = RoleAlternative(target, gain, cost, "")
        reason = find_rejection(view, option, prefill, now)
        alternatives.append(option._replace(reason=reason))
        if reason:
            continue
        if best is None or gain - cost > best.gain - best.cost:
            best = option
    if best is None:
        return RolesDecision((), "no change is worth its cost", tuple(alternatives))
    role = "prefill" if best.prefill_engines > prefill else "decode"
    engine = pick_engine(ready, role)
    change = RoleChange(engine.name, role)
    reason = f"overload {overload:.3f}, gain {best.gain:.2f} over cost {best.cost:.2f}"
    return RolesDecision((change,), reason, tuple(alternatives))


def find_obstacle(view: RolesView, now: float) -> str:
    """Return why no change may be ordered at all, or an empty string."""
    if any(engine.changing for engine in view.engines):
        return "a change is in progress"
    if now - view.last_change_at < MIN_SECONDS_BETWEEN_CHANGES:
        return "the last change is too recent"
    if now - view.demand.at > DEMAND_VALID_SECONDS:
        return "no recent sample of the demand"
    if sum(1 for engine in view.engines if engine.available) < 2:
        return "fewer than two engines are available"
    return ""


def find_rejection(
    view: RolesView, option: RoleAlternative, prefill: int, now: float
) -> str:
    """Return why an alternative is rejected, or an empty string."""
    if option.gain <= option.cost:
        return "the gain is not above the cost of the change"
    role = "prefill" if option.prefill_engines > prefill else "decode"
    back = view.last_role and role != view.last_role
    if back and now - view.last_change_at < MIN_SECONDS_BEFORE_CHANGE_BACK:
        return "reverses the last change too soon"
    return ""


def estimate_overload(view: RolesView, prefill_engines: int, engines: int) -> float:
    """Return the sum of the squared excesses of both loads over the target load."""
    prefill, decode = view.profiles["prefill"], view.profiles["decode"]
    others = engines - prefill_engines
    slots = prefill_engines * prefill.max_streams + others * decode.max_streams
    streams = view.demand.decode_tokens_per_second * SECONDS_BETWEEN_TOKENS
    decode_load = streams / max(slots, 1)
    rate = prefill_engines * compute_prefill_rate(
        prefill, decode_load * prefill.max_streams
    ) + others * compute_prefill_rate(decode, decode_load * decode.max_streams)
    prefill_load = view.demand.prefill_tokens_per_second / max(rate, 1.0)
    prefill_over = max(0.0, prefill_load - TARGET_LOAD)
    decode_over = max(0.0, decode_load - TARGET_LOAD)
    return prefill_over * prefill_over + decode_over * decode_over


def pick_engine(engines: list[EngineRole], role: str) -> EngineRole:
    """Return the engine with the fewest streams among those of another role."""
    others = [engine for engine in engines if engine.role != role]
    return min(others, key=lambda engine: (engine.running_streams, engine.name))
