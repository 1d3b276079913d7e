"""Fault: cheap backend servers of a data centre are reclaimed."""

from __future__ import annotations

from typing import NamedTuple


class CheapLoss(NamedTuple):
    """All cheap backend servers of a data centre go after a notice.

    Cheap ones are not to be had there for ``seconds``.
    """

    data_centre: str
    notice: float = 5.0
    seconds: float = 120.0
