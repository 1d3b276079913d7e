"""Membership view that an entry process starts with."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.clocks import read_wall_time
from wisteriagw.membership import build_membership

if TYPE_CHECKING:
    from wisteriagw.membership import MembershipState


def build_own_state(settings: dict[str, Any], now: float) -> MembershipState:
    """Return the view of a process that has just started.

    The wall clock gives the incarnation, because the VM keeps nothing over a restart;
    a peer that saw a higher one makes the process rise above it.
    """
    return build_membership(
        settings["vm"],
        settings["data-centre"],
        settings["listen"][0],
        int(read_wall_time()),
        now,
        alone=settings["vm-list"] is None,
    )
