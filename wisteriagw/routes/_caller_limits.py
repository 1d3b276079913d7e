"""Bounds on what callers send."""

from __future__ import annotations

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Bounds on a request and on the time that a caller may take; seconds and bytes."""

    max_header_bytes: int = 65536
    max_body_bytes: int = 16 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0
