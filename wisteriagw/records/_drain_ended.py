"""Log record: the drain of a backend server was ended."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class DrainEnded(NamedTuple):
    """An operator ended the drain of a backend server; it gets new work again."""

    backend_server: str
    operator: str
    nonce: str
