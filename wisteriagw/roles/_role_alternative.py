"""Alternative of a role decision."""

from __future__ import annotations

from typing import NamedTuple


class RoleAlternative(NamedTuple):
    """A number of prefill engines, its gain and cost, and why it was rejected."""

    prefill_engines: int
    gain: float
    cost: float
    reason: str
