"""Mesh message: answer to an indirect probe."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class ProbeReply(NamedTuple):
    """Says that the sender heard from a VM, in which incarnation and how long ago."""

    target: str
    incarnation: int
    heard_age_ms: int
