"""Initial membership view of an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.clocks import read_wall_time
from wisteriagw.membership import build_membership

if TYPE_CHECKING:
    from wisteriagw.membership import MembershipState


def build_own_state(settings: dict[str, Any], now: float) -> MembershipState:
    """Return the membership view at the start of a process.

    The incarnation is the wall-clock time, because the VM stores nothing across
    restarts; if a peer has seen a higher one, the process increases its own above it.
    """
    return build_membership(
        settings["vm"],
        settings["data-centre"],
        settings["listen"][0],
        int(read_wall_time()),
        now,
        alone=settings["vm-list"] is None,
    )
