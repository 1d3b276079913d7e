"""Control program: orders to engines and to the backend server interface."""

from __future__ import annotations

from wisteriagw.control._engine_report import EngineReport
from wisteriagw.control._fleet_view import FleetView
from wisteriagw.control._main import main
from wisteriagw.control._options import OPTIONS
from wisteriagw.control._planner import plan_fleet

__all__ = ["OPTIONS", "EngineReport", "FleetView", "main", "plan_fleet"]
