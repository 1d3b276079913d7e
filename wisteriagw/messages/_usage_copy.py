"""Mesh message: copies of usage partials."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class UsageCopy(NamedTuple):
    """Partials of the sender that are not yet in the log.

    Attributes
    ----------
    incarnation : str
        Process that counted.
    first_pending : int
        Copies with a lower number can be dropped: they are in the log.
    partials : tuple
        Number, entries and requests of each partial.
    """

    incarnation: str
    first_pending: int
    partials: tuple
