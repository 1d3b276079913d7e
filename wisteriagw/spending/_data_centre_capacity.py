"""Backend servers of a service in one data centre."""

from __future__ import annotations

from typing import NamedTuple


class DataCentreCapacity(NamedTuple):
    """Servers of a service in a data centre, and the outcome of earlier orders.

    Attributes
    ----------
    data_centre : str
        Data centre of the servers.
    dependable, reclaimable : int
        Servers of each kind that are not leaving.
    accepted : bool
        Whether the last order for reclaimable servers was accepted there.
    refused_seconds : float
        Time for which such orders have been refused; 0 if they are not.
    """

    data_centre: str
    dependable: int
    reclaimable: int
    accepted: bool = False
    refused_seconds: float = 0.0
