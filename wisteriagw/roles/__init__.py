"""Moves of engines between prefill and decode."""

from __future__ import annotations

from wisteriagw.roles._demand import Demand, smooth_demand
from wisteriagw.roles._demand_meter import DemandMeter
from wisteriagw.roles._engine_role import EngineRole
from wisteriagw.roles._planning import RECENT_SECONDS, plan_roles
from wisteriagw.roles._role_alternative import RoleAlternative
from wisteriagw.roles._role_change import RoleChange
from wisteriagw.roles._roles_decision import RolesDecision
from wisteriagw.roles._roles_view import RolesView
from wisteriagw.roles._stage_change import StageChange
from wisteriagw.roles._stage_planning import count_readers, plan_stages, update_peak
from wisteriagw.roles._staged_engine import StagedEngine

__all__ = [
    "StageChange",
    "StagedEngine",
    "count_readers",
    "plan_stages",
    "update_peak",
    "RECENT_SECONDS",
    "Demand",
    "DemandMeter",
    "EngineRole",
    "RoleAlternative",
    "RoleChange",
    "RolesDecision",
    "RolesView",
    "plan_roles",
    "smooth_demand",
]
