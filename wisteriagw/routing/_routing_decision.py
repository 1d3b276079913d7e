"""Result of a routing decision."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.routing._alternative import Alternative


class RoutingDecision(NamedTuple):
    """The chosen backend server, None if there is none, and the candidates.

    Attributes
    ----------
    chosen : str or None
        Name of the backend server.
    alternatives : tuple of Alternative
        All candidates, with the reason why each was rejected.
    waits_for : str
        Why a request without a chosen server may wait; empty if waiting cannot help.
    estimated_seconds : float
        Estimated time to the first token on the chosen backend server.
    """

    chosen: str | None
    alternatives: tuple[Alternative, ...]
    waits_for: str = ""
    estimated_seconds: float = 0.0
