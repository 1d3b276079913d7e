"""Decisions on a claim that was read back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.calls._claim_conflict import ClaimConflict
from wisteriagw.calls._claim_lost import ClaimLost
from wisteriagw.calls._claim_unavailable import ClaimUnavailable
from wisteriagw.calls._claim_won import ClaimWon
from wisteriagw.calls._fold import KEY_VALID_SECONDS

if TYPE_CHECKING:
    from wisteriagw.calls._calls_state import CallsState
    from wisteriagw.records import CallClaimed

ClaimVerdict = ClaimWon | ClaimLost | ClaimConflict | ClaimUnavailable

# VMs' wall clocks are taken to differ by less than this.
CLOCK_DIFFERENCE_SECONDS = 60.0


def judge_claim(state: CallsState, claim: CallClaimed) -> ClaimVerdict:
    """Return what the stream, read to its tip, says of a claim."""
    first = state.claims.get((claim.customer, claim.key_hash))
    if first is None:
        return ClaimUnavailable("the claim is not in the log")
    if first.nonce == claim.nonce:
        return ClaimWon()
    if first.request_digest != claim.request_digest:
        return ClaimConflict()
    return ClaimLost(first.finished)


def sees_last_hour(state: CallsState, gap_end: int | None, wall_now: float) -> bool:
    """Return whether no claim that still counts can be missing from the state.

    Records before ``gap_end`` were gone before they could be read. They are older than
    the oldest batch that was read, so they have expired once that batch has.
    """
    if gap_end is None:
        return True
    if state.first_written_at is None:
        return False
    age = wall_now - state.first_written_at
    return age > KEY_VALID_SECONDS + CLOCK_DIFFERENCE_SECONDS
