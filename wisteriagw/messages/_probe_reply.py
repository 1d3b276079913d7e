"""Mesh message: answer to an indirect probe."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class ProbeReply(NamedTuple):
    """Reports the incarnation in which the sender last saw a VM, and how long ago."""

    target: str
    incarnation: int
    last_seen_age_ms: int
