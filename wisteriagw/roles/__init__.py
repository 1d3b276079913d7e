"""Assignment of engines to the prefill and decode roles and stages."""

from __future__ import annotations

from wisteriagw.roles._demand import Demand, smooth_demand
from wisteriagw.roles._demand_meter import DemandMeter
from wisteriagw.roles._engine_role import EngineRole
from wisteriagw.roles._planning import RECENT_CHANGES_SECONDS, plan_roles
from wisteriagw.roles._role_alternative import RoleAlternative
from wisteriagw.roles._role_change import RoleChange
from wisteriagw.roles._roles_decision import RolesDecision
from wisteriagw.roles._roles_view import RolesView
from wisteriagw.roles._stage_change import StageChange
from wisteriagw.roles._stage_planning import (
    count_prefill_engines,
    plan_stages,
    update_peak,
)
from wisteriagw.roles._staged_engine import StagedEngine

__all__ = [
    "RECENT_CHANGES_SECONDS",
    "Demand",
    "DemandMeter",
    "EngineRole",
    "RoleAlternative",
    "RoleChange",
    "RolesDecision",
    "RolesView",
    "StageChange",
    "StagedEngine",
    "count_prefill_engines",
    "plan_roles",
    "plan_stages",
    "smooth_demand",
    "update_peak",
]
