"""Decision whether a revision is accepted and in force."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from wisteriagw.config._acceptance import Acceptance

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.config._confirmation import Confirmation

PERMIT_SECONDS = 3.0


def digest_vm_list(vm_names: Iterable[str]) -> bytes:
    """Return the digest of a VM list, whatever the order of its names."""
    return hashlib.sha256("\n".join(sorted(vm_names)).encode("utf-8")).digest()


def decide_acceptance(
    confirmations: Iterable[Confirmation],
    vm_names: Iterable[str],
    revision: int,
    now: float,
    accepted_at: float | None = None,
) -> Acceptance:
    """Return how far a revision has spread.

    Parameters
    ----------
    confirmations : iterable of Confirmation
        Newest confirmation of each VM, this one included.
    vm_names : iterable of str
        The VM list of this VM.
    revision : int
        Revision in question.
    now : float
        Boot time.
    accepted_at : float, optional
        When the revision was first known to be accepted; now if not given. Silence
        counts from then on: before, a silent VM may have got a permit from a majority
        that did not know the revision.
    """
    names = set(vm_names)
    digest = digest_vm_list(names)
    newest = {entry.vm: entry for entry in confirmations if entry.vm in names}
    confirmed = {vm for vm, entry in newest.items() if entry.revision >= revision}
    # Majorities of different VM lists need not share a VM, so other lists do not count.
    counted = [vm for vm in confirmed if newest[vm].vm_list_digest == digest]
    accepted = 2 * len(counted) > len(names)
    unconfirmed = tuple(sorted(names - confirmed))
    since = now if accepted_at is None else accepted_at
    heard = [max(newest[vm].heard_at, since) for vm in unconfirmed if vm in newest]
    heard += [since for vm in unconfirmed if vm not in newest]
    in_force = accepted and all(now - at > PERMIT_SECONDS for at in heard)
    return Acceptance(accepted, in_force, unconfirmed)
