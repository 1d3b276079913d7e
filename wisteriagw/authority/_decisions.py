"""Decisions about claiming, renewing and ending the authority.

The store accepts an append only at the offset that its writer expects, so of several
claims one wins, and a renewal that arrives after a claim is refused. A holder counts
its term from the moment before its last accepted append was sent. A challenger claims
after the newest record stayed the same for a whole term and a margin on its own clock,
which also counts suspended time; by then the holder's term is over on every clock that
runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.authority._turn import Turn

if TYPE_CHECKING:
    from wisteriagw.authority._grant import Grant

# Terms in units of the time within which holders may not take turns: a holder that
# comes back never acts within that time of the one between.
RENEW_PART = 0.4
END_MARGIN_PART = 0.1
CLAIM_MARGIN_PART = 0.2


def decide_turn(
    grant: Grant | None,
    incarnation: str,
    unchanged_since: float,
    term: float,
    now: float,
) -> Turn:
    """Return the next step.

    Parameters
    ----------
    grant : Grant or None
        Newest record, None if there is none.
    incarnation : str
        This process.
    unchanged_since : float
        When the newest record was first seen; for the holder, when its append was sent.
    term : float
        Seconds for which an append holds.
    now : float
        Time of the decision.
    """
    if grant is None:
        return Turn.CLAIM
    passed = now - unchanged_since
    if grant.incarnation == incarnation:
        return Turn.RENEW if passed >= RENEW_PART * term else Turn.WAIT
    if passed >= term * (1 + CLAIM_MARGIN_PART):
        return Turn.CLAIM
    return Turn.WAIT


def find_end(sent_at: float, term: float) -> float:
    """Return when a holder stops to act, from when its last append was sent."""
    return sent_at + term * (1 - END_MARGIN_PART)
