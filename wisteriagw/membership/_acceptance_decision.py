"""Decision whether a revision is accepted and in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._acceptance import Acceptance
from wisteriagw.membership._confirmations import CONFIRMATION_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.membership._confirmation import Confirmation


def decide_acceptance(
    confirmations: Iterable[Confirmation],
    vm_list_digest: int,
    revision: int,
    now: float,
    permit_seconds: float,
    accepted_at: float | None = None,
) -> Acceptance:
    """Return whether a revision is accepted and in force.

    Parameters
    ----------
    confirmations : iterable of Confirmation
        One for each VM on the local VM list.
    vm_list_digest : int
        Digest of that list.
    revision : int
        Revision in question.
    now : float
        Boot time.
    permit_seconds : float
        Time for which an isolated VM may continue to serve.
    accepted_at : float, optional
        When the revision was first known to be accepted; now if not given. The time
        without contact to a VM counts from then on: before, an unresponsive VM may
        have got a permit from a majority that did not know the revision.
    """
    entries = {entry.vm: entry for entry in confirmations}
    confirmed = {vm for vm, entry in entries.items() if entry.revision >= revision}
    counted = 0
    for vm in confirmed:
        # Majorities of different VM lists need not share a VM.
        if entries[vm].vm_list_digest != vm_list_digest:
            continue
        # A VM that restarted since may not know the revision any more.
        if now - entries[vm].proved_at > CONFIRMATION_SECONDS:
            continue
        counted += 1
    accepted = 2 * counted > len(entries)
    unconfirmed = tuple(sorted(entries.keys() - confirmed))
    since = now if accepted_at is None else accepted_at
    unresponsive_since = [max(entries[vm].proved_at, since) for vm in unconfirmed]
    known = accepted or accepted_at is not None
    in_force = known and all(now - at > permit_seconds for at in unresponsive_since)
    return Acceptance(known, in_force, unconfirmed)
