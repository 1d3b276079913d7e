"""Decisions to order and release backend servers."""

from __future__ import annotations

from wisteriagw.spending._capacity_planning import plan_capacity
from wisteriagw.spending._centre_order import CentreOrder
from wisteriagw.spending._centre_target import CentreTarget
from wisteriagw.spending._data_centre_capacity import DataCentreCapacity
from wisteriagw.spending._data_centre_offer import DataCentreOffer
from wisteriagw.spending._demand_history import (
    DemandHistory,
    find_peak,
    update_history,
)
from wisteriagw.spending._demand_target import choose_centre_target, follows_demand
from wisteriagw.spending._fleet_target import FleetTarget
from wisteriagw.spending._forecast import Forecast, predict_load, update_forecast
from wisteriagw.spending._owned_server import OwnedServer
from wisteriagw.spending._planning import plan_spending
from wisteriagw.spending._scaled_planning import plan_centre
from wisteriagw.spending._server_order import ServerOrder
from wisteriagw.spending._service_demand import ServiceDemand
from wisteriagw.spending._spending_decision import SpendingDecision
from wisteriagw.spending._spending_view import SpendingView
from wisteriagw.spending._target import choose_target

__all__ = [
    "DataCentreCapacity",
    "DataCentreOffer",
    "CentreOrder",
    "CentreTarget",
    "DemandHistory",
    "FleetTarget",
    "Forecast",
    "OwnedServer",
    "ServerOrder",
    "ServiceDemand",
    "SpendingDecision",
    "SpendingView",
    "choose_centre_target",
    "choose_target",
    "find_peak",
    "follows_demand",
    "plan_capacity",
    "plan_centre",
    "plan_spending",
    "predict_load",
    "update_forecast",
    "update_history",
]
