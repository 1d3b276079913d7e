"""Encoding of orders in messages and records."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.orders._change_role import ChangeRole
from wisteriagw.orders._give_back import GiveBack
from wisteriagw.orders._load_adapter import LoadAdapter
from wisteriagw.orders._load_model import LoadModel
from wisteriagw.orders._load_version import LoadVersion
from wisteriagw.orders._order_backend_server import OrderBackendServer


@singledispatch
def encode_order(order: Any) -> dict[str, Any]:
    """Return the fields of an order as its receiver accepts them."""
    raise TypeError(f"{type(order).__name__} is not an order")


@encode_order.register
def _(order: ChangeRole) -> dict[str, Any]:
    return {"action": "change_role", "role": order.role}


@encode_order.register
def _(order: LoadModel) -> dict[str, Any]:
    return {"action": "load_model", "model": order.model, "version": order.version}


@encode_order.register
def _(order: LoadVersion) -> dict[str, Any]:
    return {"action": "load_version", "version": order.version}


@encode_order.register
def _(order: LoadAdapter) -> dict[str, Any]:
    return {"action": "load_adapter", "adapter": order.adapter}


@encode_order.register
def _(order: OrderBackendServer) -> dict[str, Any]:
    return {"action": "order", **order._asdict()}


@encode_order.register
def _(order: GiveBack) -> dict[str, Any]:
    return {"action": "give_back", "order_id": order.order_id}
