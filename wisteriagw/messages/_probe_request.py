"""Mesh message: indirect probe."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class ProbeRequest(NamedTuple):
    """Asks a peer whether it receives messages from a VM that the sender suspects."""

    target: str
