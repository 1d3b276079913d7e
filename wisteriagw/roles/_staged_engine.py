"""Engine as input of stage planning."""

from __future__ import annotations

from typing import NamedTuple


class StagedEngine(NamedTuple):
    """An engine that serves requests or is changing its stage.

    Attributes
    ----------
    name, data_centre : str
        Identity and location.
    stage : str
        Current stage, or target of the change in progress.
    streams : float
        Open requests that must end before a change.
    changing : bool
        Whether a change is in progress.
    limited : bool
        Whether it named a limit on the requests that it takes.
    """

    name: str
    data_centre: str
    stage: str
    streams: float = 0.0
    changing: bool = False
    limited: bool = False
