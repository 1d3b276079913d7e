"""Ordering and giving back of backend servers."""

from __future__ import annotations

from wisteriagw.spending._centre_order import CentreOrder
from wisteriagw.spending._centre_stock import CentreStock
from wisteriagw.spending._data_centre_offer import DataCentreOffer
from wisteriagw.spending._fleet_target import FleetTarget
from wisteriagw.spending._forecast import Forecast, predict_load, update_forecast
from wisteriagw.spending._owned_server import OwnedServer
from wisteriagw.spending._planning import plan_spending
from wisteriagw.spending._server_order import ServerOrder
from wisteriagw.spending._spending_decision import SpendingDecision
from wisteriagw.spending._spending_view import SpendingView
from wisteriagw.spending._stock_planning import plan_stock
from wisteriagw.spending._target import choose_target

__all__ = [
    "CentreOrder",
    "CentreStock",
    "DataCentreOffer",
    "FleetTarget",
    "Forecast",
    "OwnedServer",
    "ServerOrder",
    "SpendingDecision",
    "SpendingView",
    "choose_target",
    "plan_spending",
    "plan_stock",
    "predict_load",
    "update_forecast",
]
