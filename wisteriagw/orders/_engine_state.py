"""State of an engine as it reports it."""

from __future__ import annotations

from typing import NamedTuple


class EngineState(NamedTuple):
    """Reply of an engine to ``GET /state``.

    Attributes
    ----------
    role, model, version : str
        What it does now.
    adapters : tuple of str
        Adapters that it has loaded.
    changing : bool
        Whether a change is in progress.
    last_order_id : str
        Order that it took last, empty before the first.
    fencing_number : int
        Newest number that it has seen, -1 before the first.
    """

    role: str
    model: str
    version: str
    adapters: tuple[str, ...]
    changing: bool
    last_order_id: str
    fencing_number: int
