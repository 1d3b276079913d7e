"""Demand for a service."""

from __future__ import annotations

from typing import NamedTuple


class ServiceDemand(NamedTuple):
    """Demand of the callers of all VMs at a time, in fully busy servers.

    Attributes
    ----------
    prefill : float
        Engine-seconds of prefills that requests need per second, refused ones included.
    streams : float
        Open and refused requests, divided by the slots of a server.
    refused : float
        Requests refused in about the last second, because no server could take them in
        time.
    """

    prefill: float = 0.0
    streams: float = 0.0
    refused: float = 0.0
