"""Result of a routing decision."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.routing._alternative import Alternative


class RoutingDecision(NamedTuple):
    """The chosen backend server, None if there is none, and what was weighed."""

    chosen: str | None
    alternatives: tuple[Alternative, ...]
