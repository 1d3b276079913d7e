"""Change of an engine's role."""

from __future__ import annotations

from typing import NamedTuple


class RoleChange(NamedTuple):
    """An engine that shall drain and then take another role."""

    backend_server: str
    role: str
