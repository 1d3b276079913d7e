"""Acceptance of a revision of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class Acceptance(NamedTuple):
    """Whether a revision is accepted and in force.

    Attributes
    ----------
    accepted : bool
        Whether a majority of the VM list has confirmed the revision.
    in_force : bool
        Whether no VM serves by an older revision any more.
    unconfirmed : tuple of str
        VMs that have not confirmed the revision.
    """

    accepted: bool
    in_force: bool
    unconfirmed: tuple[str, ...]
