"""Mesh message: the configuration up to an offset."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class ConfigSnapshot(NamedTuple):
    """State of the configuration, for a peer that lacks records no longer kept.

    Attributes
    ----------
    through : int
        Offset of the last record that it includes.
    fold : str
        Name and version of the encoding.
    data : bytes
        The encoded state.
    """

    through: int
    fold: str
    data: bytes
