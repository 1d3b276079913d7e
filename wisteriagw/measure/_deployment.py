"""Simulated deployment."""

from __future__ import annotations

from typing import NamedTuple


class Deployment(NamedTuple):
    """Size and one-way network latencies of a simulated deployment."""

    workers: int
    service_workers: int
    entries: int
    client_latency_seconds: float
    customers: int = 8
    data_centres: int = 4
    data_centre_latency_seconds: float = 0.0015


DEPLOYMENTS = {
    "suva": Deployment(6, 4, 8, 0.001),
    "laurentides": Deployment(5, 4, 7, 0.003),
}
