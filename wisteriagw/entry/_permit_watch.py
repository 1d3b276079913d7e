"""Decision to end streams after the loss of the serving permit."""

from __future__ import annotations

from typing import NamedTuple

STREAM_GRACE_SECONDS = 2.0


class PermitWatch(NamedTuple):
    """Since when the permit is missing, None while it is held."""

    lost_at: float | None = None


def watch_permit(
    watch: PermitWatch, *, held: bool, now: float
) -> tuple[PermitWatch, bool]:
    """Return the next state and whether open streams must end now."""
    if held:
        return PermitWatch(), False
    lost_at = now if watch.lost_at is None else watch.lost_at
    return PermitWatch(lost_at), now - lost_at >= STREAM_GRACE_SECONDS
