"""Orders of the backend server interface stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.orders import ListedOrder

if TYPE_CHECKING:
    from collections.abc import Callable

PRICES = {"dependable": 3.0, "reclaimable": 1.0}
START_SECONDS = 3.0


class BackendsStore:
    """Orders by id; refuses a duplicate id, but not a second order for one need.

    Parameters
    ----------
    clock : callable
        Returns the wall time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._orders: dict[str, ListedOrder] = {}
        self._running_at: dict[str, float] = {}

    def place_order(
        self, fields: dict[str, Any], *, reclaimable_available: bool
    ) -> str:
        """Place an order; return the refusal code, or an empty string."""
        order = ListedOrder(
            order_id=str(fields["order_id"]),
            need=str(fields["need"]),
            state="starting",
            data_centre=str(fields["data_centre"]),
            serves=str(fields["serves"]),
            reclaimable=bool(fields["reclaimable"]),
            address="",
            reclaim_at=0.0,
        )
        if order.order_id in self._orders:
            return "duplicate_order"
        if order.reclaimable and not reclaimable_available:
            return "none_available"
        self._orders[order.order_id] = order
        self._running_at[order.order_id] = self._clock() + START_SECONDS
        return ""

    def release(self, order_id: str) -> str:
        """Release an ordered server; return the refusal code, or an empty string."""
        order = self._orders.get(order_id)
        if order is None:
            return "not_found"
        self._orders[order_id] = order._replace(state="given_back")
        return ""

    def reclaim(self, data_centre: str, notice_seconds: float) -> int:
        """Reclaim the reclaimable servers of a data centre; return their number."""
        count = 0
        for order in self.list_orders():
            if order.data_centre != data_centre or not order.reclaimable:
                continue
            if order.state not in ("starting", "running"):
                continue
            reclaim_at = self._clock() + notice_seconds
            changed = order._replace(state="reclaiming", reclaim_at=reclaim_at)
            self._orders[order.order_id] = changed
            count += 1
        return count

    def list_orders(self) -> list[ListedOrder]:
        """Return every placed order with its current state."""
        now = self._clock()
        for order_id, order in self._orders.items():
            if order.state == "starting" and now >= self._running_at[order_id]:
                self._orders[order_id] = order._replace(state="running")
            if order.state == "reclaiming" and now >= order.reclaim_at:
                self._orders[order_id] = order._replace(state="reclaimed")
        return list(self._orders.values())

    def list_prices(self, *, reclaimable_available: bool) -> dict[str, float]:
        """Return the price per hour of each kind that is available."""
        if reclaimable_available:
            return dict(PRICES)
        return {"dependable": PRICES["dependable"]}
