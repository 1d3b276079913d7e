"""Mesh message: prompt parts that were open at crashes of engines."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class CrashReports(NamedTuple):
    """Sent to a relay, between relays, and by a relay to the VMs that it serves.

    Attributes
    ----------
    crashes : tuple
        Rows of crash, prompt parts of a request that was open at it, seconds since, and
        seconds for which the request had been at the engine.
    sound_answers : tuple
        Rows of prompt part and seconds since the last sound answer on it.
    quarantines : tuple
        Rows of prompt parts, seconds since their first crash, seconds since the start
        of their quarantine, and its length in seconds; only from relays.
    """

    crashes: tuple = ()
    sound_answers: tuple = ()
    quarantines: tuple = ()
