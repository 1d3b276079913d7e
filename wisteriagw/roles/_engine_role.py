"""Engine as the role decision sees it."""

from __future__ import annotations

from typing import NamedTuple


class EngineRole(NamedTuple):
    """An engine, its role and what stands against a change.

    Attributes
    ----------
    name, role : str
        Identity, and ``prefill`` or ``decode``.
    running_streams : float
        Streams that a change would have to wait for or hand over.
    available : bool
        False while it changes its role, leaves, or sends no reports.
    changing : bool
        Whether a change is in progress or its outcome is unknown.
    """

    name: str
    role: str
    running_streams: float = 0.0
    available: bool = True
    changing: bool = False
