"""Result of a routing decision."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.routing._alternative import Alternative


class RoutingDecision(NamedTuple):
    """The chosen backend server, None if there is none, and what was weighed.

    Attributes
    ----------
    chosen : str or None
        Name of the backend server.
    alternatives : tuple of Alternative
        All that were weighed, with the reason each lost.
    waits_for : str
        Why a request without a chosen server may wait; empty if waiting is of no use.
    estimated_seconds : float
        Estimated time to the first token on the chosen backend server.
    """

    chosen: str | None
    alternatives: tuple[Alternative, ...]
    waits_for: str = ""
    estimated_seconds: float = 0.0
