"""Demand of the callers of one entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping


class VmDemand(NamedTuple):
    """Demand in the response of an entry VM.

    Attributes
    ----------
    read_at : float
        When the request was sent.
    models : mapping of str to tuple of float
        Prefill and decode tokens a second by model.
    """

    read_at: float
    models: Mapping[str, tuple[float, float]]
