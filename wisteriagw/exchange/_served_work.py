"""Work served per customer that other entry VMs have not been told of."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def add_served(
    pending: dict[tuple[str, str], float], served: Mapping[str, Mapping[str, float]]
) -> None:
    """Add served work, by model or service and customer, to what is pending."""
    for serves, works in served.items():
        for customer, work in works.items():
            key = (serves, customer)
            pending[key] = pending.get(key, 0.0) + work


def take_greatest(
    pending: dict[tuple[str, str], float], limit: int
) -> tuple[tuple[str, str, float], ...]:
    """Take out the entries with the most work; the others wait and add up.

    A customer that floods is therefore known to the others first, and no work is lost
    to the bound.
    """
    keys = sorted(pending, key=lambda key: (-abs(pending[key]), key))[:limit]
    return tuple((*key, pending.pop(key)) for key in keys)
