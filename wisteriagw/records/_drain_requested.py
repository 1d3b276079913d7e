"""Log record: the drain of a backend server was requested."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class DrainRequested(NamedTuple):
    """An operator requested that a backend server gets no new work."""

    backend_server: str
    operator: str
    nonce: str
