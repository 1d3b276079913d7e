"""Eras of the platform's store: what is known of its records holds in one of them."""

from __future__ import annotations

from wisteriagw.eras._era_start import EraStart
from wisteriagw.eras._era_tracker import UNKNOWN_ERA, EraTracker
from wisteriagw.eras._store_position import (
    FOREVER,
    NOWHERE,
    StorePosition,
    decode_position,
)

__all__ = [
    "FOREVER",
    "NOWHERE",
    "UNKNOWN_ERA",
    "EraStart",
    "EraTracker",
    "StorePosition",
    "decode_position",
]
