"""Limits on the requests of callers."""

from __future__ import annotations

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Limits on the size of a request, in bytes, and on time-outs, in seconds."""

    max_header_bytes: int = 65536
    max_body_bytes: int = 16 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0
