"""Input of the planner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.config import Sheet
    from wisteriagw.control._engine_report import EngineReport
    from wisteriagw.orders import ListedOrder


class FleetView(NamedTuple):
    """The fleet as the holder of the authority knows it.

    Attributes
    ----------
    revision : int
        Configuration revision.
    sheet : Sheet
        Sheet in force.
    engines : tuple of EngineReport
        Engines on the sheet.
    orders : tuple of ListedOrder
        Orders of the backend server interface as last read.
    """

    revision: int
    sheet: Sheet
    engines: tuple[EngineReport, ...]
    orders: tuple[ListedOrder, ...]
