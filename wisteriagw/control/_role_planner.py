"""Planner that moves engines between roles as the demand shifts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.control._role_history import RoleHistory
from wisteriagw.control._sheet_planner import plan_sheet_roles
from wisteriagw.orders import ChangeRole
from wisteriagw.roles import (
    RECENT_CHANGES_SECONDS,
    Demand,
    EngineRole,
    RolesView,
    plan_roles,
)
from wisteriagw.routing import RoleProfile

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.control._engine_report import EngineReport
    from wisteriagw.control._fleet_view import FleetView
    from wisteriagw.orders import Order

# Prefill rate beside a full batch, batch that keeps 30 ms between tokens, and prefill
# rate beside an empty batch; the figures of the engines of wisteriagw-measure.
ROLE_PROFILES = {
    "prefill": RoleProfile(21_300.0, 16, 24_600.0),
    "decode": RoleProfile(5_300.0, 76, 14_500.0),
}
# The states of 1,500 engines are read within a minute.
STATE_VALID_SECONDS = 90.0
NEVER = float("-inf")


def plan_demand_roles(
    view: FleetView,
    demands: Mapping[str, Demand] | None,
    histories: Mapping[str, RoleHistory],
    now: float,
) -> tuple[Order, ...]:
    """Return the role changes that the demand calls for, at most one per model.

    An engine that has neither role takes the one on the sheet. Engines of a model that
    are all ``mixed`` on the sheet keep to the sheet. While the demand is not known, all
    roles stay: a return to the sheet would undo the changes for the last demand.

    Parameters
    ----------
    view : FleetView
        The fleet.
    demands : mapping of str to Demand, or None
        Demand by model; None while it is not known.
    histories : mapping of str to RoleHistory
        Role changes that were ordered, by model.
    now : float
        Time in seconds.
    """
    groups: dict[str, list[EngineReport]] = {}
    for report in view.engines:
        groups.setdefault(report.row["serves"], []).append(report)
    orders: list[Order] = []
    for model, reports in groups.items():
        following, fixed = [], []
        for report in reports:
            (following if follows_demand(report, reports) else fixed).append(report)
        sheet_orders = plan_sheet_roles(view._replace(engines=tuple(fixed)), now)
        orders.extend(sheet_orders)
        if demands is None or not following or sheet_orders:
            continue
        history = histories.get(model, RoleHistory(now))
        roles_view = build_roles_view(
            following, demands.get(model, Demand(at=now)), history, now
        )
        for change in plan_roles(roles_view, now).changes:
            orders.append(ChangeRole(change.backend_server, change.role))
    return tuple(orders)


def follows_demand(report: EngineReport, reports: list[EngineReport]) -> bool:
    """Return whether the role of an engine follows the demand."""
    if all(other.row["role"] not in ROLE_PROFILES for other in reports):
        return False
    if report.row["role"] not in ROLE_PROFILES:
        return False
    return report.state is None or report.state.role in ROLE_PROFILES


def build_roles_view(
    reports: list[EngineReport], demand: Demand, history: RoleHistory, now: float
) -> RolesView:
    """Return the input of the role decision for the engines of one model."""
    engines = []
    for report in reports:
        state = report.state
        # After an order, its effect is unknown until the state was read again.
        unknown = NEVER < report.sent_at >= report.read_at
        changing = unknown or (state is not None and state.changing)
        available = (
            state is not None
            and not changing
            and not report.draining
            and now - report.read_at <= STATE_VALID_SECONDS
        )
        role = report.row["role"] if state is None else state.role
        name = report.row["name"]
        engines.append(EngineRole(name, role, 0.0, available, changing))
    last_at, last_role = history.changes[-1] if history.changes else (0.0, "")
    recent = [at for at, _ in history.changes if now - at <= RECENT_CHANGES_SECONDS]
    return RolesView(
        tuple(engines),
        demand,
        ROLE_PROFILES,
        max(history.held_since, last_at),
        last_role,
        len(recent),
    )
