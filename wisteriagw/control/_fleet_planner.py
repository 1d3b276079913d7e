"""Planner with the demand and with what it has ordered."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.control._demand_reader import DemandReader
from wisteriagw.control._planner import plan_fleet
from wisteriagw.control._role_history import RoleHistory
from wisteriagw.control._role_planner import plan_adapted
from wisteriagw.orders import ChangeRole
from wisteriagw.roles import RECENT_CHANGES_SECONDS

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.control._control_context import ControlContext
    from wisteriagw.http import HttpClient
    from wisteriagw.orders import Order


class FleetPlanner:
    """Plans for one control process; what it has ordered counts for one grant."""

    def __init__(self, context: ControlContext, client: HttpClient) -> None:
        self._context = context
        self._reader: DemandReader | None = None
        self._grant: int | None = None
        self._since = 0.0
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
        """Give the orders of this turn."""
        context = self._context
        if self._reader is None:
            return plan_fleet(context.build_fleet_view(), context.clock())
        demands = yield self._reader.read()
        now = context.clock()
        self._begin_grant(now)
        return plan_adapted(context.build_fleet_view(), demands, self.histories, now)

    def get_sent_at(self, order: Any) -> float:
        """Return when an order last went to the receiver of a role change."""
        if not isinstance(order, ChangeRole):
            return 0.0
        return self._context.get_engine(order.engine).sent_at

    def note_sent(self, order: Any, sent_before: float) -> None:
        """Keep a role change that may have taken effect."""
        if not isinstance(order, ChangeRole):
            return
        if self.get_sent_at(order) == sent_before:
            return
        now = self._context.clock()
        for row in self._context.list_engines():
            if row["name"] != order.engine:
                continue
            history = self.histories.get(row["serves"], RoleHistory(self._since))
            recent = [
                one for one in history.changes if now - one[0] <= RECENT_CHANGES_SECONDS
            ]
            changes = (*recent, (now, order.role))
            self.histories[row["serves"]] = history._replace(changes=changes)

    def _begin_grant(self, now: float) -> None:
        number = self._context.authority.keeper.get_fencing_number()
        if number != self._grant:
            # Another process may have ordered changes in between.
            self._grant, self._since, self.histories = number, now, {}
        for row in self._context.list_engines():
            self.histories.setdefault(row["serves"], RoleHistory(self._since))
