"""Orders to engines and to the backend server interface."""

from __future__ import annotations

from wisteriagw.orders._change_role import ChangeRole
from wisteriagw.orders._decisions import (
    HANDOVER_GRACE_SECONDS,
    RESEND_SECONDS,
    check_receiver,
    decide_backend_server_order,
    decide_engine_order,
    find_settled_orders,
    is_satisfied,
)
from wisteriagw.orders._encoding import encode_order
from wisteriagw.orders._engine_state import EngineState
from wisteriagw.orders._fold import apply_order_record
from wisteriagw.orders._give_back import GiveBack
from wisteriagw.orders._listed_order import ListedOrder
from wisteriagw.orders._load_adapter import LoadAdapter
from wisteriagw.orders._load_model import LoadModel
from wisteriagw.orders._load_version import LoadVersion
from wisteriagw.orders._order_backend_server import OrderBackendServer
from wisteriagw.orders._order_step import OrderStep
from wisteriagw.orders._receiver_view import ReceiverView

Order = (
    ChangeRole | LoadModel | LoadVersion | LoadAdapter | OrderBackendServer | GiveBack
)

__all__ = [
    "HANDOVER_GRACE_SECONDS",
    "RESEND_SECONDS",
    "ChangeRole",
    "EngineState",
    "GiveBack",
    "ListedOrder",
    "LoadAdapter",
    "LoadModel",
    "LoadVersion",
    "Order",
    "OrderBackendServer",
    "OrderStep",
    "ReceiverView",
    "apply_order_record",
    "check_receiver",
    "decide_backend_server_order",
    "decide_engine_order",
    "encode_order",
    "find_settled_orders",
    "is_satisfied",
]
