"""Result of a role decision."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.roles._role_alternative import RoleAlternative
    from wisteriagw.roles._role_change import RoleChange


class RolesDecision(NamedTuple):
    """At most one change, the reason, and the alternatives that were considered."""

    changes: tuple[RoleChange, ...]
    reason: str
    alternatives: tuple[RoleAlternative, ...] = ()
