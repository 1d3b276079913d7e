"""Fold of order intents into the order id of each need."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.records import OrderIntent, OrderSettled


@singledispatch
def apply_order_record(
    record: Any, state: dict[str, str], offset: int
) -> dict[str, str]:
    """Return the order ids by need after a record; the first intent of a need counts.

    Two holders that both write an intent thus send the same order id.
    """
    return state


@apply_order_record.register
def _(record: OrderIntent, state: dict[str, str], offset: int) -> dict[str, str]:
    if record.need in state:
        return state
    return {**state, record.need: record.order_id}


@apply_order_record.register
def _(record: OrderSettled, state: dict[str, str], offset: int) -> dict[str, str]:
    return {need: order_id for need, order_id in state.items() if need != record.need}
