"""Served work per customer that was not sent to other entry VMs yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def add_served_work(
    pending: dict[tuple[str, str], float], served: Mapping[str, Mapping[str, float]]
) -> None:
    """Add served work, by model or service and customer, to the pending work."""
    for serves, works in served.items():
        for customer, work in works.items():
            key = (serves, customer)
            pending[key] = pending.get(key, 0.0) + work


def pop_largest(
    pending: dict[tuple[str, str], float], limit: int
) -> tuple[tuple[str, str, float], ...]:
    """Remove and return the entries with the most work; the others accumulate.

    A customer that floods is therefore sent to the other VMs first, and no work is lost
    to the limit.
    """
    keys = sorted(pending, key=lambda key: (-abs(pending[key]), key))[:limit]
    return tuple((*key, pending.pop(key)) for key in keys)
