"""Engine as input of the role decision."""

from __future__ import annotations

from typing import NamedTuple


class EngineRole(NamedTuple):
    """An engine, its role and its obstacles to a change.

    Attributes
    ----------
    name, role : str
        Identity, and ``prefill`` or ``decode``.
    running_streams : float
        Streams that must end or be handed over before a change.
    available : bool
        False while it changes its role, is leaving, or sends no reports.
    changing : bool
        Whether a change is in progress or its outcome is unknown.
    """

    name: str
    role: str
    running_streams: float = 0.0
    available: bool = True
    changing: bool = False
