"""Input of a role decision."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.roles._demand import Demand
    from wisteriagw.roles._engine_role import EngineRole
    from wisteriagw.routing import RoleProfile


class RolesView(NamedTuple):
    """The engines of one model.

    Attributes
    ----------
    engines : tuple of EngineRole
        All engines of the model.
    demand : Demand
        Smoothed demand.
    profiles : mapping of str to RoleProfile
        Performance of an engine in each role.
    last_change_at : float
        Time at which the last change was ordered.
    last_role : str
        Target role of the last change; the reverse change has to wait longer.
    recent_changes : int
        Changes ordered within the last ``RECENT_CHANGES_SECONDS``.
    """

    engines: tuple[EngineRole, ...]
    demand: Demand
    profiles: Mapping[str, RoleProfile]
    last_change_at: float = -math.inf
    last_role: str = ""
    recent_changes: int = 0
