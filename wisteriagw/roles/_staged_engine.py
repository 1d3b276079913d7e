"""Engine as stage planning sees it."""

from __future__ import annotations

from typing import NamedTuple


class StagedEngine(NamedTuple):
    """An engine that takes requests, or is changing its stage.

    Attributes
    ----------
    name, data_centre : str
        Which engine, and where.
    stage : str
        Stage that it has, or changes to.
    streams : float
        Requests that it has to finish first.
    changing : bool
        Whether a change is in progress.
    """

    name: str
    data_centre: str
    stage: str
    streams: float = 0.0
    changing: bool = False
