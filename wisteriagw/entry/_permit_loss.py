"""Decision to end streams after the loss of the serving permit."""

from __future__ import annotations

from typing import NamedTuple

STREAM_GRACE_SECONDS = 2.0


class PermitLoss(NamedTuple):
    """Time since which the permit is missing, None while it is held."""

    lost_at: float | None = None


def track_permit(
    loss: PermitLoss, *, held: bool, now: float
) -> tuple[PermitLoss, bool]:
    """Return the next state and whether open streams must end now."""
    if held:
        return PermitLoss(), False
    lost_at = now if loss.lost_at is None else loss.lost_at
    return PermitLoss(lost_at), now - lost_at >= STREAM_GRACE_SECONDS
