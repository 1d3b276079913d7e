"""State of an engine as it reports it."""

from __future__ import annotations

from typing import NamedTuple


class EngineState(NamedTuple):
    """Reply of an engine to ``GET /state``.

    Attributes
    ----------
    role, model, version : str
        Current role, model and version.
    adapters : tuple of str
        Loaded adapters.
    changing : bool
        Whether a change is in progress.
    last_order_id : str
        Last order that it accepted, empty before the first.
    fencing_number : int
        Highest fencing number that it received, -1 before the first.
    """

    role: str
    model: str
    version: str
    adapters: tuple[str, ...]
    changing: bool
    last_order_id: str
    fencing_number: int
