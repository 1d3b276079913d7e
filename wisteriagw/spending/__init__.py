"""Decisions to order and release backend servers."""

from __future__ import annotations

from wisteriagw.spending._capacity_planning import plan_capacity
from wisteriagw.spending._centre_order import CentreOrder
from wisteriagw.spending._data_centre_capacity import DataCentreCapacity
from wisteriagw.spending._data_centre_offer import DataCentreOffer
from wisteriagw.spending._fleet_target import FleetTarget
from wisteriagw.spending._forecast import Forecast, predict_load, update_forecast
from wisteriagw.spending._owned_server import OwnedServer
from wisteriagw.spending._planning import plan_spending
from wisteriagw.spending._server_order import ServerOrder
from wisteriagw.spending._spending_decision import SpendingDecision
from wisteriagw.spending._spending_view import SpendingView
from wisteriagw.spending._target import choose_target

__all__ = [
    "DataCentreCapacity",
    "DataCentreOffer",
    "CentreOrder",
    "FleetTarget",
    "Forecast",
    "OwnedServer",
    "ServerOrder",
    "SpendingDecision",
    "SpendingView",
    "choose_target",
    "plan_capacity",
    "plan_spending",
    "predict_load",
    "update_forecast",
]
