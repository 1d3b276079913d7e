"""Inputs of the decision on the serving permit."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.membership._evidence import Evidence


class PermitView(NamedTuple):
    """Knowledge of a VM when it decides whether it may serve.

    Attributes
    ----------
    revision : int
        Revision of the configuration that it holds.
    log_read_at : float
        Start of its last read of the log to its tip, minus infinity if none.
    established : bool
        Whether it has recovered the configuration since its start.
    started_at : float
        Start of its process.
    listed_vms : int
        Number of VMs on its VM list.
    evidence : tuple of Evidence
        Evidence about other VMs.
    own_votes : int
        1 if this VM is on the list itself, else 0.
    """

    revision: int
    log_read_at: float
    established: bool
    started_at: float
    listed_vms: int
    evidence: tuple[Evidence, ...]
    own_votes: int = 1
