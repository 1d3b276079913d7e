"""Decision to hedge a request whose first attempt is late."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.hedging._hedge_state import HedgeState

# Above this part of its slots in use, a service is short of capacity: a second attempt
# would delay other requests.
MAX_SLOTS_IN_USE = 0.7
# Queues that refused requests within this time are still too long.
REFUSAL_SECONDS = 2.0
# Part of the retry budget that is kept for retries after failures.
KEPT_RETRIES_FRACTION = 0.5


class HedgeDecision(NamedTuple):
    """Decision to hedge, with the limit that denies it.

    Attributes
    ----------
    allowed : bool
        Whether a second attempt is sent.
    reason : str
        Limit that denies it, empty if it is allowed.
    """

    allowed: bool
    reason: str = ""


def decide_hedge(state: HedgeState, now: float) -> HedgeDecision:
    """Return whether a second attempt is sent.

    Load: single slow servers while the service has capacity to spare. Under a load
    spike all servers are slow, and hedges would only lengthen the queues.
    """
    reason = _find_denial(state, now)
    return HedgeDecision(not reason, reason)


def _find_denial(state: HedgeState, now: float) -> str:
    kept = KEPT_RETRIES_FRACTION * state.retries_allowed
    denials = (
        ("not_sent", not state.server),
        ("deadline", now + state.quantiles.typical >= state.deadline),
        ("quarantine", state.quarantined),
        ("capacity", state.slots_in_use > MAX_SLOTS_IN_USE),
        ("queue", now - state.refused_at < REFUSAL_SECONDS),
        ("no_server", state.candidates < 1),
        ("retries", state.retries_left - 1.0 < kept),
        ("limit", state.seconds_needed > state.seconds_available),
    )
    return next((reason for reason, denied in denials if denied), "")
