"""Fields of an operator's request body."""

from __future__ import annotations

from typing import Any


def require_text(body: dict[str, Any], name: str) -> str:
    """Return a non-empty string, or raise ValueError."""
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name!r} must be a non-empty string")
    return value
