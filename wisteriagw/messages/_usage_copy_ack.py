"""Mesh message: confirmation of usage copies."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class UsageCopyAck(NamedTuple):
    """Says which copies of a process the sender keeps."""

    incarnation: str
    seqs: tuple
