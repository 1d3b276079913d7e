"""Mesh message: records of the configuration."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class ConfigRecords(NamedTuple):
    """Consecutive records as the log holds them.

    Attributes
    ----------
    start : int
        Offset from which the peer asked.
    records : tuple
        Pairs of offset and data, in offset order.
    """

    start: int
    records: tuple
