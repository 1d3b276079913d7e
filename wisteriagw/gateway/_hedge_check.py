"""Check of whether a late request is hedged."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.gateway._hedge_candidates import find_candidates
from wisteriagw.hedging import HedgeState, decide_hedge, find_race_seconds

if TYPE_CHECKING:
    from wisteriagw.gateway._server_access import ServerAccess
    from wisteriagw.hedging import HedgeDecision, Quantiles


class HedgeCheck(NamedTuple):
    """Decision about a second attempt, with its terms.

    Attributes
    ----------
    decision : HedgeDecision
        Whether it is sent, and the limit that denies it.
    excluded : tuple of str
        Servers that it must not go to.
    race_seconds : float
        Seconds for which both attempts may run.
    """

    decision: HedgeDecision
    excluded: tuple[str, ...]
    race_seconds: float


def check_hedge(
    access: ServerAccess, server: str, quantiles: Quantiles, elapsed: float
) -> HedgeCheck:
    """Return the decision about a second attempt.

    Parameters
    ----------
    server : str
        Server of the first attempt, empty before it is sent.
    elapsed : float
        Seconds since the start of the first attempt.
    """
    context, service = access.context, access.service.name
    now = context.reactor.seconds()
    candidates = find_candidates(access, server, now)
    race_seconds = find_race_seconds(quantiles, access.deadline - now)
    state = HedgeState(
        quantiles=quantiles,
        server=server,
        candidates=candidates.count,
        slots_in_use=candidates.slots_in_use,
        refused_at=context.hedges.get_refused_at(service),
        quarantined=access.find_quarantine() is not None,
        retries_left=context.budgets.get(service, now).retries,
        retries_allowed=context.budgets.get_allowed(service, now),
        # All that the first attempt took is in vain if the second one is faster.
        seconds_needed=elapsed + race_seconds,
        seconds_available=context.hedges.budget.compute_available(now),
        deadline=access.deadline,
    )
    return HedgeCheck(decide_hedge(state, now), candidates.excluded, race_seconds)
