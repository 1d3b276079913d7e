"""Decisions about claiming, renewing and ending the authority.

The store accepts an append only at the offset that its writer expects, so one of
several concurrent claims wins, and a renewal that arrives after a claim is refused. A
holder counts its term from the moment before it sent its last accepted append. A
challenger claims after the newest record has been unchanged for a whole term and a
margin on its own clock, which includes suspended time; by then the holder's term has
ended on every running clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.authority._authority_step import AuthorityStep

if TYPE_CHECKING:
    from wisteriagw.authority._grant import Grant

# Fractions of the term. They ensure that a former holder that regains the authority
# does not act within one term of the holder in between.
RENEW_FRACTION = 0.4
END_MARGIN_FRACTION = 0.1
CLAIM_MARGIN_FRACTION = 0.2


def decide_step(
    grant: Grant | None,
    incarnation: str,
    unchanged_since: float,
    term: float,
    now: float,
    known_free: bool = True,
) -> AuthorityStep:
    """Return the next step.

    Parameters
    ----------
    grant : Grant or None
        Newest record, None if there is none or it was lost.
    incarnation : str
        Identity of this process.
    unchanged_since : float
        When the newest record, or its absence, was first seen; for the holder, when its
        append was sent.
    term : float
        Seconds for which an append is valid.
    now : float
        Time of the decision.
    known_free : bool
        Whether no process can hold the authority if there is no record.
    """
    if grant is None and known_free:
        return AuthorityStep.CLAIM
    elapsed = now - unchanged_since
    if grant is not None and grant.incarnation == incarnation:
        return (
            AuthorityStep.RENEW
            if elapsed >= RENEW_FRACTION * term
            else AuthorityStep.WAIT
        )
    if elapsed >= term * (1 + CLAIM_MARGIN_FRACTION):
        return AuthorityStep.CLAIM
    return AuthorityStep.WAIT


def compute_term_end(sent_at: float, term: float) -> float:
    """Return when a holder must stop acting, from when it sent its last append."""
    return sent_at + term * (1 - END_MARGIN_FRACTION)
