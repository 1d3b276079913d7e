"""Mesh message: confirmation of usage copies."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class UsageCopyAck(NamedTuple):
    """Acknowledges the copies of a process that the sender keeps."""

    incarnation: str
    seqs: tuple
