"""Fault: the platform reclaims backend servers of a data centre."""

from __future__ import annotations

from typing import NamedTuple


class ReclaimFault(NamedTuple):
    """All reclaimable backend servers of a data centre stop after a notice.

    No reclaimable servers are available there for ``seconds``.
    """

    data_centre: str
    notice: float = 5.0
    seconds: float = 120.0
