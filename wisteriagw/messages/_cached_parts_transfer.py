"""Mesh message: cached prompt parts for a process that has just started."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message(name="PartsNews")
class CachedPartsTransfer(NamedTuple):
    """Sent by a relay to a new process as part of its initial state transfer.

    Attributes
    ----------
    parts : tuple
        Rows of backend server, prompt part and tokens.
    """

    parts: tuple
