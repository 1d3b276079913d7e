"""Notice that a backend server wants no requests for a while."""

from __future__ import annotations

from typing import NamedTuple


class Pause(NamedTuple):
    """A server refused a request and named the time until it takes further ones.

    Attributes
    ----------
    server : str
        Backend server.
    born : int
        Start time of its process.
    seconds : float
        Time for which it wants no requests, positive.
    """

    server: str
    born: int
    seconds: float
