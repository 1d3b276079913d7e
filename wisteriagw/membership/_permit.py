"""Serving permit."""

from __future__ import annotations

from typing import NamedTuple


class Permit(NamedTuple):
    """Whether a VM may serve.

    Attributes
    ----------
    basis : str
        ``log``, ``peer`` or ``majority``; empty without a permit.
    established : bool
        Whether the VM counts towards the majorities of others.
    """

    basis: str
    established: bool

    @property
    def held(self) -> bool:
        """Whether the VM may serve."""
        return bool(self.basis)
