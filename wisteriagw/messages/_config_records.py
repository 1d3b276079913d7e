"""Mesh message: records of the configuration."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class ConfigRecords(NamedTuple):
    """Consecutive records of the configuration log, in their stored encoding.

    Attributes
    ----------
    start : int
        Offset that the peer requested.
    records : tuple
        Pairs of offset and data, in offset order.
    """

    start: int
    records: tuple
