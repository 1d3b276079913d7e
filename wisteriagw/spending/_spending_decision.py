"""Result of a spending decision."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.spending._fleet_target import FleetTarget
    from wisteriagw.spending._server_order import ServerOrder


class SpendingDecision(NamedTuple):
    """Orders, names of servers to release, and the considered targets."""

    orders: tuple[ServerOrder, ...]
    releases: tuple[str, ...]
    reason: str
    target: FleetTarget | None = None
    alternatives: tuple[FleetTarget, ...] = ()
