"""Request waiting for dispatch."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.routing import RouteRequest


class QueuedRequest(NamedTuple):
    """A request with its deadline for the first token.

    Attributes
    ----------
    handle : str
        Identity for the caller of the queue.
    request : RouteRequest
        Request to be placed.
    arrived_at, deadline : float
        Times in seconds.
    work : float
        Expected engine seconds.
    """

    handle: str
    request: RouteRequest
    arrived_at: float
    deadline: float
    work: float
