"""Control program: orders to engines and to the backend server interface."""

from __future__ import annotations

from wisteriagw.control._demand_reader import DemandReader
from wisteriagw.control._engine_report import EngineReport
from wisteriagw.control._fleet_planner import FleetPlanner
from wisteriagw.control._fleet_view import FleetView
from wisteriagw.control._main import main
from wisteriagw.control._options import OPTIONS
from wisteriagw.control._role_history import RoleHistory
from wisteriagw.control._role_planner import plan_demand_roles
from wisteriagw.control._sheet_planner import plan_sheet_roles

__all__ = [
    "OPTIONS",
    "DemandReader",
    "EngineReport",
    "FleetPlanner",
    "FleetView",
    "RoleHistory",
    "main",
    "plan_demand_roles",
    "plan_sheet_roles",
]
