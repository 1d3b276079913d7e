"""Change of an engine's role."""

from __future__ import annotations

from typing import NamedTuple


class RoleChange(NamedTuple):
    """An engine that has to drain and then change to a role."""

    backend_server: str
    role: str
