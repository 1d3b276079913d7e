"""Decision on a claim that was read back."""

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

ClaimDecision = ClaimWon | ClaimLost | ClaimConflict | ClaimUnavailable

# The wall clocks of the VMs are assumed to differ by less than this.
CLOCK_DIFFERENCE_SECONDS = 60.0


def decide_claim(state: CallsState, claim: CallClaimed) -> ClaimDecision:
    """Return the decision on a claim after the stream was read to its tip."""
    first = state.claims.get((claim.customer, claim.key_hash))
    if first is None:
        return ClaimUnavailable("the claim is not in the log")
    if first.nonce == claim.nonce:
        return ClaimWon()
    if first.request_digest != claim.request_digest:
        return ClaimConflict()
    return ClaimLost(first.finished)


def covers_validity_period(
    state: CallsState, gap_end: int | None, wall_now: float
) -> bool:
    """Return whether the state includes every claim that is still valid.

    Records before ``gap_end`` were removed before they could be read. They are older
    than the oldest batch that was read, so they have expired once that batch has.
    """
    if gap_end is None:
        return True
    if state.first_written_at is None:
        return False
    age = wall_now - state.first_written_at
    return age > KEY_VALID_SECONDS + CLOCK_DIFFERENCE_SECONDS
