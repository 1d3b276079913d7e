"""Log record: a backend server shall get no new work."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class DrainRequested(NamedTuple):
    """An operator asked for a backend server to get no new work."""

    backend_server: str
    operator: str
    nonce: str
