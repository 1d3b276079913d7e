"""Planner that reads the demand and keeps the history of its role changes."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.control._demand_reader import DemandReader
from wisteriagw.control._role_history import RoleHistory
from wisteriagw.control._role_planner import plan_demand_roles
from wisteriagw.control._sheet_planner import plan_sheet_roles
from wisteriagw.orders import ChangeRole
from wisteriagw.roles import RECENT_CHANGES_SECONDS

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.control._control_context import ControlContext
    from wisteriagw.http import HttpClient
    from wisteriagw.orders import Order


class FleetPlanner:
    """Plans for one control process; a new grant clears the history of changes."""

    def __init__(self, context: ControlContext, client: HttpClient) -> None:
        self._context = context
        self._reader: DemandReader | None = None
        self._fencing_number: int | None = None
        self._held_since = 0.0
        self.histories: dict[str, RoleHistory] = {}
        settings, token = context.settings, ""
        if settings["operator-token-file"]:
            path = pathlib.Path(settings["operator-token-file"])
            token = path.read_text(encoding="utf-8").strip()
        if settings["entry-operator-port"]:
            self._reader = DemandReader(
                client,
                context.vm_list,
                settings["entry-operator-port"],
                token,
                context.clock,
            )

    @inlineCallbacks
    def plan(self) -> Generator[Deferred[Any], Any, tuple[Order, ...]]:
        """Return the orders of this cycle."""
        context = self._context
        if self._reader is None:
            return plan_sheet_roles(context.build_fleet_view(), context.clock())
        demands = yield self._reader.read()
        now = context.clock()
        self._reset_on_new_grant(now)
        return plan_demand_roles(
            context.build_fleet_view(), demands, self.histories, now
        )

    def get_sent_at(self, order: Any) -> float:
        """Return when an order last went to the receiver of a role change."""
        if not isinstance(order, ChangeRole):
            return 0.0
        return self._context.get_engine(order.engine).sent_at

    def record_sent(self, order: Any, sent_before: float) -> None:
        """Record a role change that may have taken effect."""
        if not isinstance(order, ChangeRole):
            return
        if self.get_sent_at(order) == sent_before:
            return
        now = self._context.clock()
        for row in self._context.list_engines():
            if row["name"] != order.engine:
                continue
            history = self.histories.get(row["serves"], RoleHistory(self._held_since))
            recent = [
                change
                for change in history.changes
                if now - change[0] <= RECENT_CHANGES_SECONDS
            ]
            changes = (*recent, (now, order.role))
            self.histories[row["serves"]] = history._replace(changes=changes)

    def _reset_on_new_grant(self, now: float) -> None:
        number = self._context.authority.lease.get_fencing_number()
        if number != self._fencing_number:
            # Another process may have ordered changes in the meantime.
            self._fencing_number, self._held_since, self.histories = number, now, {}
        for row in self._context.list_engines():
            self.histories.setdefault(row["serves"], RoleHistory(self._held_since))
