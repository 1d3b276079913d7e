"""Notice of the rate of requests that a backend server takes."""

from __future__ import annotations

from typing import NamedTuple


class RateLimit(NamedTuple):
    """A server named the rate that it takes from all VMs together.

    Attributes
    ----------
    server : str
        Backend server.
    born : int
        Start time of its process.
    rate : float
        Requests per second; infinite if it names no limit any more.
    """

    server: str
    born: int
    rate: float
