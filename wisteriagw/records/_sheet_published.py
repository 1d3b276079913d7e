"""Log record: a sheet was published."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class SheetPublished(NamedTuple):
    """An operator published a sheet that replaces the one of revision ``based_on``."""

    based_on: int
    sheet: dict
    operator: str
    nonce: str
