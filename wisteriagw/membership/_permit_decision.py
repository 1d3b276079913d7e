"""Decision on the serving permit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._evidence import PERMIT_SECONDS, SUMMARY_SECONDS
from wisteriagw.membership._permit import Permit

if TYPE_CHECKING:
    from wisteriagw.membership._permit_view import PermitView

# A process that restarted has lost what its predecessor confirmed. A confirmation
# counts for 3 s, so after this time every change that was accepted on a confirmation
# of the predecessor was accepted before the oldest heartbeat that still counts was
# sent.
SETTLE_SECONDS = PERMIT_SECONDS + SUMMARY_SECONDS


def decide_permit(view: PermitView, now: float) -> Permit:
    """Return whether a VM may serve, and on what basis.

    Conditions (a) to (c) of section 3.2 of the design page: a read of the log, a peer
    with a read of the log, or a majority of the VM list, each not older than 3 s.
    """
    established = view.established or is_recovered(view, now)
    if now - view.log_read_at <= PERMIT_SECONDS:
        return Permit("log", established)
    for evidence in view.evidence:
        if now - evidence.log_read_at > PERMIT_SECONDS:
            continue
        if view.revision >= evidence.revision:
            return Permit("peer", established)
    if established and agrees_with_majority(view, view.own_votes, now):
        return Permit("majority", established)
    return Permit("", established)


def is_recovered(view: PermitView, now: float) -> bool:
    """Return whether a VM holds all that was accepted before its process started."""
    if view.log_read_at >= view.started_at:
        return True
    for evidence in view.evidence:
        if evidence.log_read_at < view.started_at:
            continue
        if view.revision >= evidence.revision:
            return True
    if now - view.started_at < SETTLE_SECONDS:
        return False
    return agrees_with_majority(view, 0, now)


def agrees_with_majority(view: PermitView, own_votes: int, now: float) -> bool:
    """Return whether a majority has reported no revision above the local one."""
    votes = own_votes
    for evidence in view.evidence:
        if now - evidence.proved_at > evidence.valid_seconds:
            continue
        if evidence.revision > view.revision:
            return False
        votes += evidence.votes
    return 2 * votes > view.listed_vms
