"""Planner that gives the engines their roles on the sheet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.orders import ChangeRole

if TYPE_CHECKING:
    from wisteriagw.control._fleet_view import FleetView
    from wisteriagw.orders import Order


def plan_sheet_roles(fleet_view: FleetView, now: float) -> tuple[Order, ...]:
    """Return the orders that give each engine its role on the sheet."""
    orders = []
    for report in fleet_view.engines:
        if report.draining or report.state is None:
            continue
        if report.state.role == report.row["role"]:
            continue
        orders.append(ChangeRole(report.row["name"], report.row["role"]))
    return tuple(orders)
