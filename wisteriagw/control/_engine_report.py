"""State of an engine for the planner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.config import BackendServerRow
    from wisteriagw.orders import EngineState


class EngineReport(NamedTuple):
    """An engine on the sheet with its state.

    Attributes
    ----------
    row : BackendServerRow
        Its row on the sheet.
    state : EngineState or None
        Last state read, None if there is none.
    read_at : float
        When the state was read, minus infinity if it never was.
    draining : bool
        Whether an operator drains it.
    sent_at : float
        When an order was last sent to it.
    """

    row: BackendServerRow
    state: EngineState | None
    read_at: float
    draining: bool
    sent_at: float = float("-inf")
